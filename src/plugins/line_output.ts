/** Non-blocking writer of lines to standard output, with a bounded buffer. */
import {write} from 'node:fs';

/** Size of the buffer. Lines that exceed it are dropped and counted. */
const MAX_QUEUED_BYTES = 256 * 1024; // 0.1 % of the memory of the smallest instance
const STDOUT = 1;

export class LineOutput {
  private queue: string[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private droppedCount = 0;

  constructor(private readonly fd = STDOUT) {}

  /** Queues a line, or drops it if the buffer is full. */
  add(line: string): void {
    if (this.queuedBytes + line.length > MAX_QUEUED_BYTES) {
      this.droppedCount++;
      return;
    }
    this.queue.push(line);
    this.queuedBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number {
    const {droppedCount} = this;
    this.droppedCount = 0;
    return droppedCount;
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
      // After other errors nothing reads the output, so the error cannot be reported.
      if (err && (err as NodeJS.ErrnoException).code !== 'EAGAIN') return;
      const rest = bytes.subarray(err ? 0 : written);
      if (rest.length > 0) setTimeout(() => this.writeAll(rest), RETRY_MS);
      else this.flush();
    });
  }
}

/** Delay before the next write after a partial write or a full pipe, in ms. */
const RETRY_MS = 20;
