/** One recurring job that ends each gate that leads, so that no job gets on any more. */
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
const RECURRING_MS = 500;
const JOB_MS = 4000;
const IDLE_MS = 3000;

await runCase(import.meta.url, {agents: 4}, async (d, hasTrouble) => {
  await d.run(makeConfig());
  const submit = async (steps, ms, more) => {
    const id = d.newId();
    const res = await d.submit(0, id, steps, ms, more);
    if (res?.status !== 200) throw new Error('a job was not accepted');
    return id;
  };
  // An ordinary job: its second step has its turn when the first is done.
  const steps = [step(1, 1, JOB_MS), step(1, 1, JOB_MS, {after: [0]})];
  const id = await submit(steps, JOB_MS);
  await sleep(500);
  const nowMs = Date.now();
  // The client gives the first time in seconds in place of milliseconds.
  await submit([step(1, 1, RECURRING_MS)], RECURRING_MS, {
    'repeat-count': TIMES,
    'first-run-ms': hasTrouble ? Math.floor(nowMs / 1000) : nowMs,
    'interval-ms': INTERVAL_MS,
  });
  await sleep(BOUNDS.finish_s * 1000 + IDLE_MS);
  for (const gate of [0, 1, 2]) await d.state(gate, id);
  const ends = [...d.ownEnds].map(([name, n]) => `${name} ${n} times`);
  const busy = d.workers.filter(w => w.runs.size > 0).length;
  d.record(`processes that ended by themselves: ${ends.join(', ') || 'none'}`);
  d.record(`${busy} of ${d.workers.length} workers have runs`);
  const done = d.log
    .of(id)
    .filter(r => r.how === 'done')
    .map(r => r.task);
  if (done.length === steps.length) return undefined;
  if (busy > 0) throw new Error('the workers are in use');
  return `LOST: ${BOUNDS.finish_s} s after the end of the traffic, and for ${IDLE_MS / 1000} s then, an ordinary job has nothing running (done: ${done.join(' ') || 'nothing'}) with all ${d.workers.length} workers empty; Fault: processes ended by themselves, ${ends.join(', ')}`;
});
