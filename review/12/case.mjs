/* global performance */
// A worker without runs stands still for about 2.5 s, and a job for it comes meanwhile.
import {runCase, sleep, TROUBLE} from '../lib-3/deployment.mjs';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

const WORK_MS = 1000;
const TRIALS = 22;
const between = (from, to) => from + Math.random() * (to - from);

await runCase(dirname(fileURLToPath(import.meta.url)), async d => {
  const broken = [];
  const workOn = (w, r) => {
    r.workMs = WORK_MS;
    if (performance.now() - r.startedAt >= WORK_MS) w.end(r, 'done');
  };
  const onRunBegun = (w, r) => {
    for (const other of d.workers.values()) {
      const run = other !== w && other.isUp && other.running.get(r.task);
      if (run)
        broken.push(
          `${r.task}: run ${r.run} began on ${w.name} while run ${run.run} was running on ${other.name}`,
        );
    }
  };
  const onListed = w => (w.listedAt = performance.now());
  const names = ['side-1', 'side-2'];
  await d.start({
    gates: 3,
    workers: 11,
    queues: {urgent: {}},
    worker: {workOn, onRunBegun, onListed},
    each: (name, w) => {
      if (names.includes(name)) w.kind = 'b';
      if (name === 'side-1') w.cpu = 60_000; // the tighter fit
    },
  });
  const w = d.workers.get('side-1');
  const untilMs = performance.now() + 90_000;
  for (
    let i = 0;
    i < TRIALS && broken.length === 0 && performance.now() < untilMs;
    i++
  ) {
    w.listedAt = undefined;
    await d.waitFor('an answer to a hold', () => w.listedAt, 5000);
    const since = w.listedAt;
    if (TROUBLE) w.standStill();
    await sleep(since + between(1700, 2300) - performance.now());
    const id = d.newId();
    await d.submit('urgent', id, {
      spec: 'one task',
      steps: [
        {
          count: 1,
          cpu: 8000,
          'mem-mb': 1024,
          gpu: 1,
          'required-label': 'b',
          'est-runtime-ms': WORK_MS,
        },
      ],
    });
    await sleep(since + between(2520, 2580) - performance.now());
    if (TROUBLE) w.goOn();
    await sleep(WORK_MS);
    await d.waitFor(
      'the end of the job',
      async () => (await d.state('urgent', id)) === 'completed',
      15_000,
      200,
    );
  }
  return broken[0];
});
