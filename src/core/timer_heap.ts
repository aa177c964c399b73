/** Binary heap of timers, so that a tick takes time only for timers that are due. */
export class TimerHeap<T> {
  private readonly items: {readonly dueMs: number; readonly value: T}[] = [];

  get size(): number {
    return this.items.length;
  }

  /** Adds a value that is due at `dueMs`. */
  add(dueMs: number, value: T): void {
    this.items.push({dueMs, value});
    this.siftUp(this.items.length - 1);
  }

  /** Time at which the next value is due; undefined when the heap is empty. */
  peekDueMs(): number | undefined {
    return this.items.at(0)?.dueMs;
  }

  /** Removes and returns all values that are due, earliest first. */
  takeDue(nowMs: number): T[] {
    const due: T[] = [];
    while (this.items.length > 0 && this.items[0].dueMs <= nowMs) {
      due.push(this.removeFirst());
    }
    return due;
  }

  private removeFirst(): T {
    const first = this.items[0];
    const last = this.items.pop()!;
    if (this.items.length > 0) {
      this.items[0] = last;
      this.siftDown(0);
    }
    return first.value;
  }

  private siftUp(index: number): void {
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.items[parent].dueMs <= this.items[index].dueMs) return;
      this.swap(parent, index);
      index = parent;
    }
  }

  private siftDown(index: number): void {
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (
          child < this.items.length &&
          this.items[child].dueMs < this.items[least].dueMs
        ) {
          least = child;
        }
      }
      if (least === index) return;
      this.swap(least, index);
      index = least;
    }
  }

  private swap(a: number, b: number): void {
    [this.items[a], this.items[b]] = [this.items[b], this.items[a]];
  }
}
