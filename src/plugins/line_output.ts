/** Standard output that never blocks the process and holds a bounded number of bytes. */
import {write} from 'node:fs';

/** Bytes that wait to be written; further lines are dropped and counted. */
const MAX_QUEUED_BYTES = 256 * 1024; // a thousandth of the smallest instance's memory
const STDOUT = 1;

export class LineOutput {
  private queue: string[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private dropped = 0;

  constructor(private readonly fd = STDOUT) {}

  /** Adds a line; drops it when too much waits already. */
  add(line: string): void {
    if (this.queuedBytes + line.length > MAX_QUEUED_BYTES) {
      this.dropped++;
      return;
    }
    this.queue.push(line);
    this.queuedBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  /** Lines dropped since the last call. */
  takeDropped(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }

  private flush(): void {
    if (this.queue.length === 0) return;
    const bytes = Buffer.from(this.queue.join('\n') + '\n');
    this.queue = [];
    this.queuedBytes = 0;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.isWriting = true;
    write(this.fd, bytes, (err, written) => {
      this.isWriting = false;
      // Nobody reads the output any more, so there is nowhere to report it.
      if (err && (err as NodeJS.ErrnoException).code !== 'EAGAIN') return;
      const rest = bytes.subarray(err ? 0 : written);
      if (rest.length > 0) setTimeout(() => this.writeAll(rest), RETRY_MS);
      else this.flush();
    });
  }
}

/** Wait before a full pipe is written to again, in ms. */
const RETRY_MS = 20;
