/** Jobs that no worker has begun, and that `waiting` leaves out. */
import {
  BOUNDS,
  makeConfig,
  runCase,
  sleep,
  step,
} from '../lib-2/deployment.mjs';

const FILLER_MS = 40_000;
const JOBS = 4;
const SAMPLES = 20;

await runCase(import.meta.url, {agents: 8}, async (d, hasTrouble) => {
  await d.run(makeConfig());
  const filler = d.newId();
  await d.submit(0, filler, [step(7, 8, FILLER_MS)], FILLER_MS);
  for (let n = 0; n < 50 && d.log.of(filler).length < 7; n++) await sleep(100);
  if (d.log.of(filler).length < 7) throw new Error('the workers are not full');
  await sleep(1000);
  const free = d.workers.find(w => w.runs.size === 0);
  // Without the disruption, the last worker is full as well, so that the jobs wait.
  if (hasTrouble) free.crash();
  else await d.submit(0, d.newId(), [step(1, 8, FILLER_MS)], FILLER_MS);
  await sleep(300);
  const ids = [];
  for (let n = 0; n < JOBS; n++) {
    const id = d.newId();
    const res = await d.submit(n % 3, id, [step(1, 2, 5000)], 5000);
    if (res?.status !== 200) throw new Error('a job was not accepted');
    ids.push(id);
  }
  await sleep(BOUNDS.visible_ms + 2000);
  let under = 0;
  let least = Infinity;
  for (let n = 0; n < SAMPLES; n++) {
    await sleep(300);
    const notBegun = ids.filter(id => d.log.of(id).length === 0).length;
    if (notBegun < JOBS) throw new Error('a job has begun');
    const res = await d.client(n % 3, 'GET', '/q/');
    if (res?.status !== 200) throw new Error('a count was not answered');
    least = Math.min(least, res.body.waiting);
    if (res.body.waiting < notBegun / 2) under++;
  }
  await d.state(1, ids[0]);
  if (under === 0) return undefined;
  return `MIXED: ${under} of ${SAMPLES} answers gave under half of the ${JOBS} jobs that have not begun as waiting, the least ${least}`;
});
