/** Waiting for an event, bounded by a time in which it must happen. */

const POLL_MS = 50;

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

/** Waits until a condition holds; throws when it does not in time. */
export async function waitUntil(
  what: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`timed out after ${timeoutMs} ms waiting until ${what}`);
}
