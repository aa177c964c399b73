/** A guarantee that cannot be reclaimed from urgent work beyond another tenant's guarantee. */
import {performance} from 'node:perf_hooks';
import {
  BOUNDS,
  KEY,
  SECOND_KEY,
  makeConfig,
  runCase,
  sleep,
  step,
} from '../lib-2/deployment.mjs';

const GUARANTEED = 16;
const OTHER_MS = 40_000;
const JOB_MS = 3000;
const WORKERS = 8;

await runCase(import.meta.url, {agents: WORKERS}, async (d, hasTrouble) => {
  await d.run(
    makeConfig({
      priority: 0,
      tenants: [
        {name: 'tenant-1', 'api-keys': [KEY], guaranteed: {gpu: GUARANTEED}},
        {
          name: 'tenant-2',
          'api-keys': [SECOND_KEY],
          guaranteed: {gpu: GUARANTEED},
        },
      ],
    }),
  );
  // Large urgent jobs of the other tenant come at once, and use what is idle.
  const jobs = hasTrouble ? WORKERS : 1;
  for (let n = 0; n < jobs; n++) {
    const steps = [step(1, 8, OTHER_MS)];
    const res = await d.submit(
      n % 3,
      d.newId(),
      steps,
      OTHER_MS,
      {},
      SECOND_KEY,
    );
    if (res?.status !== 200) throw new Error('a job was not accepted');
  }
  await sleep(4000);
  const id = d.newId();
  const res = await d.submit(0, id, [step(1, 8, JOB_MS)], JOB_MS);
  const ackedMs = performance.now();
  if (res?.status !== 200) throw new Error('the job was not accepted');
  await sleep(BOUNDS['reclaim-ms']);
  const isBegun = d.log.of(id).length > 0;
  await sleep(15_000);
  const [run] = d.log.of(id);
  const begunS = run ? ((run.startMs - ackedMs) / 1000).toFixed(1) : undefined;
  d.record(`the job began after ${begunS ?? 'more than 17'} s`);
  if (isBegun) return undefined;
  return `RECLAIM: a job of 8 GPUs of a tenant with ${GUARANTEED} guaranteed and nothing else in use has not begun after ${BOUNDS['reclaim-ms']} ms, but after ${begunS ?? 'more than 17'} s`;
});
