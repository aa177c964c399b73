/** A sound job that is shown as failed because workers crashed while it ran there. */
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {makeConfig, runCase, sleep, step} from '../lib-2/deployment.mjs';

const RUN_MS = 9700;
const CRASHES = 3;
/** Time from a start of the task to the crash of its worker. */
const CRASH_AFTER_MS = 3000;
const DOWN_MS = 1000;
const MAX_MS = 70_000;

await runCase(import.meta.url, {agents: 8}, async (d, hasTrouble) => {
  await d.run(makeConfig({maxAttempts: 2}));
  const id = d.newId();
  const res = await d.submit(0, id, [step(1, 8, RUN_MS)], RUN_MS);
  if (res?.status !== 200) throw new Error('the job was not accepted');
  const untilMs = performance.now() + MAX_MS;
  let crashes = 0;
  let state;
  while (performance.now() < untilMs) {
    await sleep(200);
    const run = d.log.of(id).findLast(r => r.endMs === undefined);
    const isDue = run && performance.now() - run.startMs >= CRASH_AFTER_MS;
    if (hasTrouble && isDue && crashes < CRASHES) {
      crashes++;
      const worker = d.workers.find(w =>
        run.worker.startsWith(`${w.place.name}/`),
      );
      worker.crash();
      setTimeout(() => void worker.up(), DOWN_MS);
    }
    if (!run) {
      state = (await d.state(1, id))?.body?.state;
      if (state === 'completed' || state === 'failed') break;
    }
  }
  const failed = d.log.of(id).filter(r => r.how === 'failed').length;
  if (state === 'completed') return undefined;
  if (state !== 'failed') throw new Error(`the job is ${state}`);
  return `LOST: the job is shown as failed after ${crashes} crashes of single workers and ${failed} ends "failed"`;
});
