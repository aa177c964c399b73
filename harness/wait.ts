/** Waiting for an event, bounded by a time in which it must happen. */

const POLL_INTERVAL_MS = 50;

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

/** Waits until a condition holds; throws when it does not in time. */
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
