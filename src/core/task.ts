/** Accepts messages of one type. */
export interface Mailbox<M> {
  post(message: M): void;
}

/**
 * Base class of components that own state and handle one message at a time. Messages that
 * are posted during handling are queued in order.
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
