/** Closes an HTTP server gracefully: all requests that it has read are answered. */
import {type Server} from 'node:http';
import {type FastifyInstance, type FastifyRequest} from 'fastify';
import {type Clock} from '../core/clock.js';
import {sleep} from '../plugins/sleep.js';

const POLL_INTERVAL_MS = 50;
/**
 * Turns of the event loop after which all data that had arrived has been read: one that
 * may be under way, one that accepts connections, and one that reads from them.
 */
const READ_TURNS = 3;

export class HttpDrain {
  private openRequestCount = 0;
  private isDraining = false;
  private lastArrivalMs: number;

  /**
   * Create it before other `onRequest` hooks are added, so that every request is counted.
   * Probes, which continue while the server stops, do not count as callers' requests.
   */
  constructor(
    private readonly http: FastifyInstance<Server>,
    private readonly clock: Clock,
    isCallerRequest: (req: FastifyRequest) => boolean = () => true,
  ) {
    this.lastArrivalMs = clock.nowMs();
    http.addHook('onRequest', async (req, res) => {
      if (isCallerRequest(req)) this.lastArrivalMs = clock.nowMs();
      this.openRequestCount++;
      res.raw.once('close', () => this.openRequestCount--);
    });
    http.addHook('onSend', async (req, res) => {
      if (this.isDraining) res.header('connection', 'close');
    });
  }

  /** Number of requests whose headers were read and that have no response yet. */
  get openRequests(): number {
    return this.openRequestCount;
  }

  /** Makes every further response ask the client to close its connection. */
  start(): void {
    this.isDraining = true;
  }

  /**
   * Whether all requests are answered and no caller's request has arrived for
   * `quietPeriodMs`: callers have learned that the server stops, so it can be closed.
   */
  async isQuiet(quietPeriodMs: number): Promise<boolean> {
    await readArrivedData();
    return (
      this.openRequestCount === 0 &&
      this.clock.nowMs() - this.lastArrivalMs >= quietPeriodMs
    );
  }

  /**
   * Stops listening, and closes each connection once its requests are answered, or at the
   * deadline.
   */
  async close(deadlineMs = Infinity): Promise<void> {
    this.start();
    const closed = this.http.close();
    while (!(await this.isQuiet(0)) && this.clock.nowMs() < deadlineMs)
      await sleep(POLL_INTERVAL_MS);
    // A connection on which no request was sent would stay open without limit.
    this.http.server.closeAllConnections();
    await closed;
  }
}

/**
 * Waits until all data that has arrived at the process has been read. After the event loop
 * was blocked, timers run before the data that arrived meanwhile is read.
 */
async function readArrivedData(): Promise<void> {
  for (let turn = 0; turn < READ_TURNS; turn++)
    await new Promise(resolve => {
      setImmediate(resolve);
    });
}
