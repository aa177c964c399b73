/** Stand-in of a backend server. It serves requests and announces itself to its agent. */
import {type AddressInfo} from 'node:net';
import {fastify, type FastifyInstance} from 'fastify';
import {request} from 'undici';
import {registerFaults, sleep} from './faults.js';

export interface BackendServerOptions {
  readonly service: string;
  readonly slots: number;
  /** Base URL of the agent that receives the announcements. */
  readonly agent: string;
  /** Interval between announcements, in ms. */
  readonly announceMs: number;
}

/** Options that a request body can set for the stand-in. */
interface RequestBody {
  readonly id?: string;
  /** Time that the request takes, in ms. */
  readonly runMs?: number;
  /** Size of filler text added to the response, in bytes. */
  readonly answerBytes?: number;
  /** HTTP status of the response. */
  readonly status?: number;
}

interface Run {
  readonly id: string;
  readonly run: string;
  readonly startedWallMs: number;
  ended: boolean;
  /** True if the caller disconnected before the response was sent. */
  cut: boolean;
}

export function makeBackendServer(
  options: BackendServerOptions,
): FastifyInstance {
  const http = fastify({bodyLimit: 64 * 1024 * 1024});
  const faults = registerFaults(http);
  const runs: Run[] = [];
  const totals = {running: 0, mostAtOnce: 0};
  let state: 'serving' | 'leaving' = 'serving';
  let muted = false;

  const announce = async () => {
    if (muted) return;
    const {port} = http.server.address() as AddressInfo;
    const body = JSON.stringify({
      service: options.service,
      address: `http://127.0.0.1:${port}`,
      slots: options.slots,
      state,
    });
    await request(`${options.agent}/v1/announcement`, {
      method: 'PUT',
      body,
      headers: {'content-type': 'application/json'},
    })
      .then(res => res.body.dump())
      .catch(() => undefined);
  };

  http.removeAllContentTypeParsers();
  http.addContentTypeParser(
    'application/json',
    {parseAs: 'string'},
    (req, body, done) => {
      try {
        done(null, JSON.parse(body as string));
      } catch {
        done(null, {});
      }
    },
  );
  http.addContentTypeParser('*', {parseAs: 'buffer'}, (req, body, done) =>
    done(null, {}),
  );
  http.get('/runs', async () => ({...totals, runs}));
  http.post<{Body: {muted: boolean}}>('/mute', async req => {
    muted = req.body.muted;
    return {muted};
  });
  http.post('/leave', async () => {
    state = 'leaving';
    await announce();
    return {state, leftWallMs: Date.now()};
  });
  http.post<{Params: {kind: string}}>('/:kind', async (req, res) => {
    const body = (req.body ?? {}) as RequestBody;
    const run: Run = {
      id: body.id ?? '',
      run: String(req.headers['x-request-id'] ?? ''),
      startedWallMs: Date.now(),
      ended: false,
      cut: false,
    };
    runs.push(run);
    totals.mostAtOnce = Math.max(totals.mostAtOnce, ++totals.running);
    res.raw.once('close', () => {
      if (!run.ended) run.cut = true;
    });
    if (faults.breakAfterStart) req.raw.socket.destroy();
    await sleep((body.runMs ?? 0) + faults.slowMs);
    while (faults.hang) await sleep(50);
    run.ended = true;
    totals.running--;
    const status = faults.failAll ? 500 : (body.status ?? 200);
    const filler = body.answerBytes
      ? {filler: 'x'.repeat(body.answerBytes)}
      : {};
    return res.code(status).send({
      ran: body.id ?? null,
      workspace: req.headers['x-workspace'],
      ...filler,
    });
  });
  const timer = setInterval(() => void announce(), options.announceMs);
  http.addHook('onListen', announce);
  http.addHook('onClose', async () => clearInterval(timer));
  return http;
}
