/** A cancelling that was answered 410, and the job that runs all the same. */
import {performance} from 'node:perf_hooks';
import {
  BOUNDS,
  makeConfig,
  runCase,
  sleep,
  step,
} from '../lib-2/deployment.mjs';

const RUN_MS = 15_000;
/** The client leaves this long after it sent its job. */
const LEAVE_MS = 120;
const LATE_MS = 1000;
/** Bound of the rule for the time from the acknowledgement to the end of the task. */
const GONE_MS = BOUNDS.cancel_ms + BOUNDS['stop-ms'];

await runCase(import.meta.url, {agents: 4, racks: 2}, async (d, hasTrouble) => {
  await d.run(makeConfig());
  const id = d.newId();
  let isLost = false;
  d.store.faultOf = tx => {
    const writesJob = (tx['set-keys'] ?? []).some(r => r.key.includes(id));
    if (!hasTrouble || isLost || !writesJob) return undefined;
    isLost = true;
    return {lateMs: LATE_MS};
  };
  const body = {
    spec: JSON.stringify({ms: RUN_MS, gpu: 1}),
    steps: [step(1, 1, RUN_MS)],
  };
  // The client leaves before its deadline, and cancels its job at another gate.
  await d.client(0, 'POST', `/q/${id}`, {body, leaveMs: LEAVE_MS});
  const cancelled = await d.client(1, 'DELETE', `/q/${id}`);
  const ackedMs = performance.now();
  const isAcked =
    cancelled &&
    (cancelled.status === 410 || Math.floor(cancelled.status / 100) === 2);
  if (!isAcked) throw new Error('the cancelling was not acknowledged');
  // The stretch that the rule asks for begins when the store has been stable for long enough.
  await sleep(LATE_MS + BOUNDS['stable-window-ms'] + GONE_MS + 500);
  const late = d.log.of(id).find(r => r.endMs === undefined);
  await d.state(2, id);
  if (!late) return undefined;
  const startS = ((late.startMs - ackedMs) / 1000).toFixed(1);
  const ranS = ((performance.now() - ackedMs) / 1000).toFixed(1);
  return `UNASKED: ${late.task} started ${startS} s after the cancelling was answered ${cancelled.status}, and still ran ${ranS} s after it`;
});
