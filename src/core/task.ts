/** Takes messages of one type. */
export interface Mailbox<M> {
  post(message: M): void;
}

/**
 * Owns some state and handles one message at a time. Messages posted while one
 * is handled wait in order.
 */
export abstract class Task<M> implements Mailbox<M> {
  private readonly waiting: M[] = [];
  private running = false;

  post(message: M): void {
    this.waiting.push(message);
    if (this.running) return;
    this.running = true;
    try {
      while (this.waiting.length > 0) this.receive(this.waiting.shift()!);
    } finally {
      this.running = false;
    }
  }

  /** Handles one message. Must not block. */
  protected abstract receive(message: M): void;
}
