/**
 * Non-blocking writer of lines to standard output, with a bounded buffer. Lines of a short
 * interval share one write, since a system call costs more than formatting a line.
 */
import {write, writeSync} from 'node:fs';

/** Size of the buffer. Lines that exceed it are dropped and counted. */
const MAX_QUEUED_BYTES = 256 * 1024; // 0.1 % of the memory of the smallest instance
/** Queued bytes that are written without waiting for the interval to end. */
const EARLY_WRITE_BYTES = MAX_QUEUED_BYTES / 4;
/** Interval in which lines are collected, in ms. */
const WRITE_INTERVAL_MS = 50;
const STDOUT = 1;

export class LineOutput {
  private queue: string[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private droppedCount = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly fd = STDOUT,
    private readonly writeBytes: typeof write = write,
  ) {}

  /** Queues a line, or drops it if the buffer is full. */
  add(line: string): void {
    if (this.queuedBytes + line.length > MAX_QUEUED_BYTES) {
      this.droppedCount++;
      return;
    }
    this.queue.push(line);
    this.queuedBytes += line.length;
    if (this.isWriting) return;
    if (this.queuedBytes >= EARLY_WRITE_BYTES) this.flush();
    else this.timer ??= setTimeout(() => this.flush(), WRITE_INTERVAL_MS);
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number {
    const {droppedCount} = this;
    this.droppedCount = 0;
    return droppedCount;
  }

  /** Writes the queued lines before the process exits. Lines may be lost on a full pipe. */
  flushSync(): void {
    try {
      writeSync(this.fd, this.takeQueued());
    } catch {
      // Nothing else can report the failure while the process exits.
    }
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.queue.length > 0) this.writeAll(this.takeQueued());
  }

  private takeQueued(): Buffer {
    const text = this.queue.map(line => `${line}\n`).join('');
    this.queue = [];
    this.queuedBytes = 0;
    return Buffer.from(text);
  }

  private writeAll(bytes: Buffer): void {
    this.isWriting = true;
    this.writeBytes(this.fd, bytes, (err, written) => {
      const isFull = (err as NodeJS.ErrnoException | null)?.code === 'EAGAIN';
      const rest = bytes.subarray(err ? 0 : written);
      if (rest.length > 0 && (!err || isFull)) {
        setTimeout(() => this.writeAll(rest), RETRY_MS);
        return;
      }
      this.isWriting = false;
      // After other errors nothing reads the output, so the error cannot be reported.
      if (!err) this.flush();
    });
  }
}

/** Delay before the next write after a partial write or a full pipe, in ms. */
const RETRY_MS = 20;
