/** Token bucket rate limiter: tokens accrue at a fixed rate up to the burst size. */
export class TokenBucket {
  private tokens: number;
  private lastMs: number | undefined;

  constructor(
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Takes `count` tokens if they are available. */
  tryTake(nowMs: number, count = 1): boolean {
    this.refill(nowMs);
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Time until `count` tokens are available, in ms. */
  waitMs(nowMs: number, count = 1): number {
    this.refill(nowMs);
    const missing = Math.max(0, count - this.tokens);
    return Math.ceil((missing * 1000) / this.perSecond);
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.lastMs ?? nowMs));
    this.tokens = Math.min(
      this.burst,
      this.tokens + (elapsedMs * this.perSecond) / 1000,
    );
    this.lastMs = nowMs;
  }
}

/** Limits retries to a fraction of the first attempts, to bound the load they add. */
export class RetryBudget {
  private balance: number;

  constructor(
    private readonly ratio: number,
    private readonly reserve: number,
  ) {
    this.balance = reserve;
  }

  /** Counts a first attempt. */
  deposit(): void {
    this.balance = Math.min(this.reserve * 10, this.balance + this.ratio);
  }

  /** Takes the cost of one retry; returns false when the budget is used up. */
  tryWithdraw(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
