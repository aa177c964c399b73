/** Waits for conditions with a timeout. */

const POLL_INTERVAL_MS = 50;

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

/** Polls until a condition holds; throws if it does not hold within the timeout. */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(
    `timed out after ${timeoutMs} ms waiting until ${description}`,
  );
}
