/**
 * Structured log with one JSON object per line. The rate is limited per process, so that
 * a recurring failure cannot flood the output.
 */
import {createConsola} from 'consola';
import {type Clock} from '../core/clock.js';
import {TokenBucket} from '../core/token_bucket.js';
import {LineOutput} from './line_output.js';

/** Sustained rate limit of one process, in lines per second. */
const LINES_PER_S = 200; // about 40 KB/s
/** Largest burst, in lines. */
const BURST_LINES = 2000; // a new leader logs one line per task

export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Log of one component of a process. */
export interface ComponentLog {
  /** Logs a decision or a state change. */
  logEvent(name: string, fields?: LogFields): void;
  /** Logs a failure. The field `remedy` states what the operator should check. */
  logFailure(name: string, fields?: LogFields): void;
}

export class EventLog {
  private readonly bucket = new TokenBucket(LINES_PER_S, BURST_LINES);
  /** Lines dropped by the rate limit since the last line written. */
  private rateLimitedLines = 0;
  private readonly root;

  constructor(
    private readonly process: string,
    private readonly clock: Clock,
    private readonly output = new LineOutput(),
  ) {
    this.root = createConsola({
      reporters: [{log: entry => this.write(entry.type, entry.args[0])}],
      throttle: 0,
    });
  }

  /** Creates the log of one component; `part` is its name. */
  forComponent(part: string): ComponentLog {
    return {
      logEvent: (name, fields) =>
        this.root.info({part, event: name, ...fields}),
      logFailure: (name, fields) =>
        this.root.warn({part, event: name, ...fields}),
    };
  }

  /** Writes the lines that are still queued. Called when the process exits. */
  flushSync(): void {
    this.output.flushSync();
  }

  private write(level: string, fields: object): void {
    if (!this.bucket.tryTake(this.clock.nowMs())) {
      this.rateLimitedLines++;
      return;
    }
    const dropped = this.rateLimitedLines + this.output.takeDroppedCount();
    this.rateLimitedLines = 0;
    this.output.add(
      JSON.stringify({
        atMs: this.clock.wallMs(),
        level,
        process: this.process,
        ...fields,
        ...(dropped > 0 ? {linesDropped: dropped} : {}),
      }),
    );
  }
}
