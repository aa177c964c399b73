/** One recurring job that ends each gate that leads, so that no job runs any more. */
import {
  BOUNDS,
  makeConfig,
  runCase,
  sleep,
  step,
} from '../lib-2/deployment.mjs';

/** Each second for a week. */
const TIMES = 604_800;
const INTERVAL_MS = 1000;
const JOB_MS = 500;
const IDLE_MS = 3000;

await runCase(import.meta.url, {agents: 4}, async (d, hasTrouble) => {
  await d.run(makeConfig());
  const submit = async (id, more) => {
    let res;
    for (let n = 0; n < 10 && res?.status !== 200; n++) {
      res = await d.submit(n % 3, id, [step(1, 1, JOB_MS)], JOB_MS, more);
      if (res?.status !== 200) await sleep(500);
    }
    if (res?.status !== 200) throw new Error('a job was not accepted');
  };
  const nowMs = Date.now();
  // The client gives the first time in seconds in place of milliseconds.
  await submit(d.newId(), {
    'repeat-count': TIMES,
    'first-run-ms': hasTrouble ? Math.floor(nowMs / 1000) : nowMs,
    'interval-ms': INTERVAL_MS,
  });
  await sleep(1000);
  const id = d.newId();
  await submit(id, {});
  await sleep(BOUNDS.finish_s * 1000 + IDLE_MS);
  for (const gate of [0, 1, 2]) await d.state(gate, id);
  const ends = [...d.ownEnds].map(([name, n]) => `${name} ${n} times`);
  const busy = d.workers.filter(w => w.runs.size > 0).length;
  d.record(`processes that ended by themselves: ${ends.join(', ') || 'none'}`);
  d.record(`${busy} of ${d.workers.length} workers have runs`);
  if (d.log.of(id).length > 0) return undefined;
  if (busy > 0) throw new Error('the workers are in use');
  return `LOST: ${BOUNDS.finish_s} s after the end of the traffic, and for ${IDLE_MS / 1000} s then, an ordinary job has nothing running with all ${d.workers.length} workers empty; Fault: processes ended by themselves, ${ends.join(', ')}`;
});
