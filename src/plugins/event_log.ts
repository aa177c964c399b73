/**
 * Structured log: one line of JSON per decision. The rate is bounded per process, so
 * that a fault that repeats can't fill the output.
 */
import {createConsola} from 'consola';
import {type Clock} from '../core/clock.js';
import {TokenBucket} from '../core/token_bucket.js';
import {LineOutput} from './line_output.js';

/** Lines a second that a process may write for long. */
const LINES_PER_S = 200; // some 40 KB a second
/** Lines that may come at once. */
const BURST_LINES = 2000; // a takeover writes one a task

export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logs of one part of a process. */
export interface PartLog {
  /** A decision, or a change of what the process believes. */
  event(name: string, fields?: LogFields): void;
  /** Something that should not happen; `remedy` says what to look at. */
  fault(name: string, fields?: LogFields): void;
}

export class EventLog {
  private readonly bucket = new TokenBucket(LINES_PER_S, BURST_LINES);
  private limited = 0;
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

  of(part: string): PartLog {
    return {
      event: (name, fields) => this.root.info({part, event: name, ...fields}),
      fault: (name, fields) => this.root.warn({part, event: name, ...fields}),
    };
  }

  private write(level: string, fields: object): void {
    if (!this.bucket.tryTake(this.clock.nowMs())) {
      this.limited++;
      return;
    }
    const dropped = this.limited + this.output.takeDropped();
    this.limited = 0;
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
