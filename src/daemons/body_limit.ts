/**
 * Refuses bodies over the limit with an answer that reaches the caller. A server
 * that closes the connection while the caller still sends would lose the answer, so
 * the body is read to its end and thrown away first.
 */
import {once} from 'node:events';
import {type FastifyInstance, type FastifyRequest} from 'fastify';
import {TooLargeError} from '../core/errors.js';

/** Largest body that is read to its end only to be refused, in bytes. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024;

export function refuseLargeBodies(
  http: FastifyInstance,
  limitBytes: number,
): void {
  http.addHook('onRequest', async req => {
    const size = Number(req.headers['content-length'] ?? 0);
    if (size <= limitBytes) return;
    if (size <= MAX_DISCARDED_BYTES) await discardBody(req);
    throw new TooLargeError(
      `the body of ${size} bytes is larger than the limit of ${limitBytes}; send a smaller body or raise limits.bodyBytes`,
    );
  });
}

async function discardBody(req: FastifyRequest): Promise<void> {
  req.raw.resume();
  await Promise.race([once(req.raw, 'end'), once(req.raw, 'close')]);
}
