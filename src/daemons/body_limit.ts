/**
 * Rejects request bodies over the limit. If the server closed the connection while the
 * caller is still sending, the caller would not receive the response. The body is
 * therefore read to its end and discarded before the response is sent.
 */
import {once} from 'node:events';
import {type FastifyInstance, type FastifyRequest} from 'fastify';
import {TooLargeError} from '../core/errors.js';

/** Largest body that is read and discarded before it is rejected, in bytes. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024;

export function rejectLargeBodies(
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
