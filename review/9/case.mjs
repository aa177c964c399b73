/** A job that has nothing running beside idle workers, for a neighbour without an estimate. */
import {
  BOUNDS,
  makeConfig,
  runCase,
  sleep,
  step,
} from '../lib-2/deployment.mjs';

const NEIGHBOUR_MS = 4000;
const BLOCKER_MS = 60_000;
const JOB_MS = 5000;
const IDLE_MS = 3000;

await runCase(import.meta.url, {agents: 8, racks: 4}, async (d, hasTrouble) => {
  await d.run(makeConfig());
  const submit = async (steps, ms) => {
    const id = d.newId();
    const res = await d.submit(0, id, steps, ms);
    if (res?.status !== 200) throw new Error('a job was not accepted');
    return id;
  };
  const isDone = id => d.log.of(id).some(r => r.how === 'done');
  // Fields whose value is 0 are left out: the neighbour gives no estimate.
  const estimate = hasTrouble ? undefined : NEIGHBOUR_MS;
  const neighbour = await submit([step(1, 1, estimate)], NEIGHBOUR_MS);
  for (let n = 0; n < 100 && !isDone(neighbour); n++) await sleep(100);
  if (!isDone(neighbour)) throw new Error('the neighbour did not end');
  await sleep(500);
  const onRack = {'preferred-rack': 'r-0'};
  const blocker = await submit([step(2, 8, BLOCKER_MS, onRack)], BLOCKER_MS);
  await sleep(1000);
  if (d.log.of(blocker).length !== 2) throw new Error('the rack is not full');
  const id = await submit([step(1, 8, JOB_MS, onRack)], JOB_MS);
  await sleep(BOUNDS.finish_s * 1000 + IDLE_MS);
  for (const gate of [0, 1, 2]) await d.state(gate, id);
  const busy = d.workers.filter(w => w.runs.size > 0).length;
  d.record(`${busy} of ${d.workers.length} workers have runs`);
  if (d.log.of(id).length > 0) return undefined;
  if (busy * 2 >= d.workers.length) throw new Error('the service is in use');
  return `LOST: ${BOUNDS.finish_s} s after the end of the traffic, and for ${IDLE_MS / 1000} s then, the job has nothing running, with ${d.workers.length - busy} of ${d.workers.length} workers empty`;
});
