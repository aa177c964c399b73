/** Steps of the scenarios that inject failures into real processes. */
import assert from 'node:assert/strict';
import {
  After,
  Given,
  Then,
  When,
  setDefaultTimeout,
  setWorldConstructor,
} from '@cucumber/cucumber';
import {cancelRequest, isResponseTo, getRequest} from '../../harness/caller.js';
import {type Instance} from '../../harness/cluster.js';
import {type ManagedProcess} from '../../harness/managed_process.js';
import {sleep, waitUntil} from '../../harness/wait.js';
import {Relay} from '../fixtures/relay.js';
import {SystemWorld, postJson} from '../fixtures/system_world.js';

const STEP_TIMEOUT_MS = 60_000;
const EVENT_TIMEOUT_MS = 30_000;
const FIT_KIND = 'chime-fit';
const CHECK_KIND = 'pitch-check';
const SWEEP_KIND = 'modal-sweep';
const CERTIFICATE_KIND = 'gong-certificate';
const STUDY_KIND = 'alloy-study';
const REQUEST_ID = 'the-fit';
/** Sent unchanged each time, because a key may be reused only with the same payload. */
const KEYED_FIT = {
  kind: FIT_KIND,
  key: 'the-key',
  id: REQUEST_ID,
  body: {runMs: 1500},
};

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(SystemWorld);

After(async function (this: SystemWorld) {
  await this.close();
});

Given(
  'a system of {int} gates and {int} instances',
  async function (this: SystemWorld, gates: number, instances: number) {
    await this.start(gates, instances);
  },
);

Given(
  'a system of {int} gates and {int} instances behind relays',
  async function (this: SystemWorld, gates: number, instances: number) {
    const relays: Promise<Relay>[] = [];
    let addresses: string[] = [];
    // Agents also learn the gates' direct addresses. A limit of one link keeps them on
    // the link through the relay.
    const agentOverrides = {gateLinks: 1};
    await this.start(gates, 0);
    for (const gate of this.cluster.gates)
      relays.push(Relay.start(gate.linkAddress!));
    this.relays.push(...(await Promise.all(relays)));
    addresses = this.relays.map(r => r.address);
    Object.assign(this.cluster.options, {
      agentOverrides: {
        ...this.cluster.options.agentOverrides,
        ...agentOverrides,
      },
      seedGates: () => addresses,
    });
    for (let i = 0; i < instances; i++)
      this.cluster.instances.push(await this.cluster.startInstance(i));
    await waitUntil(
      'all agents are serving',
      EVENT_TIMEOUT_MS,
      async () =>
        (await this.status()).agents.filter(
          a => a.announcement.state === 'serving',
        ).length === instances,
    );
  },
);

// Requests.

When(
  'a fit with a key that was sent through gate {int} is running',
  async function (this: SystemWorld, gate: number) {
    this.pending.push(
      this.send({...KEYED_FIT, gate: this.cluster.gates[gate - 1]}),
    );
    await waitUntil(
      'the fit is running',
      EVENT_TIMEOUT_MS,
      async () => (await this.runsOfRequest(REQUEST_ID)).length > 0,
    );
  },
);

When('a pitch check is running', async function (this: SystemWorld) {
  this.pending.push(
    this.send({kind: CHECK_KIND, id: REQUEST_ID, body: {runMs: 1500}}),
  );
  await waitUntil(
    'the pitch check is running',
    EVENT_TIMEOUT_MS,
    async () => (await this.runsOfRequest(REQUEST_ID)).length > 0,
  );
});

When('a fit with a key is sent', async function (this: SystemWorld) {
  const sending = this.send(KEYED_FIT);
  this.pending.push(sending);
  await Promise.race([sending, sleep(500)]);
});

When('a fit without a key is sent', async function (this: SystemWorld) {
  this.pending.push(
    this.send({kind: FIT_KIND, id: REQUEST_ID, body: {runMs: 50}}),
  );
  await sleep(100);
});

When(
  'the same fit is sent again through gate {int}',
  async function (this: SystemWorld, gate: number) {
    await this.awaitPending();
    await this.send({...KEYED_FIT, gate: this.cluster.gates[gate - 1]});
  },
);

When(
  '{int} pitch checks of {int} ms are in progress',
  async function (this: SystemWorld, count: number, runMs: number) {
    this.sendMany(count, {kind: CHECK_KIND, body: {runMs}});
    await sleep(300);
  },
);

When(
  '{int} fits of {int} ms are in progress',
  async function (this: SystemWorld, count: number, runMs: number) {
    this.sendMany(count, {kind: FIT_KIND, key: 'fit', body: {runMs}});
    await sleep(300);
  },
);

When(
  'callers send pitch checks and fits for {int} seconds',
  function (this: SystemWorld, seconds: number) {
    const sendUntilEnd = async (kind: string, key?: string) => {
      const end = performance.now() + seconds * 1000;
      for (let i = 0; performance.now() < end; i++)
        await this.send({kind, key: key && `${key}-${i}`, body: {runMs: 60}});
    };
    for (let i = 0; i < 4; i++)
      this.pending.push(
        sendUntilEnd(CHECK_KIND),
        sendUntilEnd(FIT_KIND, `load-${i}`),
      );
  },
);

When('a sweep is sent', async function (this: SystemWorld) {
  await this.send({kind: SWEEP_KIND, body: {runMs: 100}});
});

When(
  'a sweep of {int} ms is running',
  async function (this: SystemWorld, runMs: number) {
    this.pending.push(this.send({kind: SWEEP_KIND, body: {runMs}}));
    await waitUntil(
      'both gang members are running',
      EVENT_TIMEOUT_MS,
      async () => (await this.taskRuns()).runs.length === 2,
    );
  },
);

When(
  'a certificate of {int} ms is running',
  async function (this: SystemWorld, runMs: number) {
    const submission = await this.send({
      kind: CERTIFICATE_KIND,
      body: {runMs},
      waitMs: 0,
    });
    assert.equal(submission.result.outcome, 'pending');
    await waitUntil(
      'the certificate is running',
      EVENT_TIMEOUT_MS,
      async () => (await this.taskRuns()).runs.length === 1,
    );
  },
);

When(
  '{int} studies of {int} ms are sent',
  async function (this: SystemWorld, count: number, runMs: number) {
    this.sendMany(count, {kind: STUDY_KIND, body: {runMs}});
    await this.awaitPending();
  },
);

When('all of them are cancelled', async function (this: SystemWorld) {
  const ids = (
    await Promise.all(
      this.cluster.gates.map(gate => acceptedRequestIds(this, gate)),
    )
  ).flat();
  assert.ok(ids.length > 0, 'the timeline has no accepted request');
  await Promise.all(
    ids.map(id => cancelRequest(this.cluster.gates[0].httpUrl, this.token, id)),
  );
});

/** Ids of the requests that a gate accepted, from the events of its timeline. */
async function acceptedRequestIds(
  world: SystemWorld,
  gate: ManagedProcess,
): Promise<string[]> {
  const {json} = await world.cluster.requestAsOperator(
    'GET',
    '/v1/timeline?limit=2000&local=1',
    undefined,
    undefined,
    gate,
  );
  const {events} = json as {events: {event: string; subject?: string}[]};
  return events
    .filter(e => e.event.startsWith('accepted'))
    .map(e => e.subject!);
}

// Faults.

When('gate {int} is killed', async function (this: SystemWorld, gate: number) {
  await this.cluster.gates[gate - 1].kill();
});

When(
  'the agent that runs it is killed and restarted',
  async function (this: SystemWorld) {
    const instance = await this.findInstanceRunning(REQUEST_ID);
    await restartAgent(this, instance!);
  },
);

When(
  'the only agent is killed and restarted',
  async function (this: SystemWorld) {
    await restartAgent(this, this.cluster.instances[0]);
  },
);

When('the only agent is paused', async function (this: SystemWorld) {
  this.cluster.instances[0].agent.signal('SIGSTOP');
});

When(
  'the only agent is resumed after {int} ms',
  async function (this: SystemWorld, ms: number) {
    await sleep(ms);
    this.cluster.instances[0].agent.signal('SIGCONT');
  },
);

When('all open connections stop forwarding data', function (this: SystemWorld) {
  for (const relay of this.relays) relay.blockOpenConnections();
});

When(
  'the table service becomes unavailable',
  async function (this: SystemWorld) {
    await this.setFaults(this.cluster.table, {down: true});
  },
);

When(
  'the table service becomes available again',
  async function (this: SystemWorld) {
    await this.setFaults(this.cluster.table, {down: false});
    await sleep(500);
  },
);

When(
  'the next {int} answers of the table service are lost',
  async function (this: SystemWorld, count: number) {
    await this.setFaults(this.cluster.table, {loseAnswers: count});
  },
);

When(
  'the table service answers each call after {int} ms',
  async function (this: SystemWorld, ms: number) {
    await this.setFaults(this.cluster.table, {slowMs: ms});
  },
);

When(
  'a gate is started while the table service is unavailable',
  async function (this: SystemWorld) {
    this.cluster.gates.push(
      await this.cluster.startGate(this.cluster.gates.length),
    );
    const {linkAddress: link} = this.cluster.gates.at(-1)!;
    // The rows of gates can't be read now, so an agent learns the new gate's address only
    // from its settings, when it starts.
    Object.assign(this.cluster.options, {seedGates: () => [link]});
    await restartAgent(this, this.cluster.instances[0], [
      link!,
      ...this.cluster.gates.map(g => g.linkAddress!),
    ]);
  },
);

When(
  'a backend server enters the state leaving after {int} second',
  async function (this: SystemWorld, seconds: number) {
    await sleep(seconds * 1000);
    const {leftWallMs} = (await postJson(
      `${this.cluster.instances[0].backend.httpUrl}/leave`,
      {},
    )) as {leftWallMs: number};
    this.recordedValues.set('left', leftWallMs);
  },
);

When(
  'gate {int} and an agent are shut down after {int} second',
  async function (this: SystemWorld, gate: number, seconds: number) {
    await sleep(seconds * 1000);
    const codes = await Promise.all([
      this.cluster.gates[gate - 1].stop(),
      this.cluster.instances[0].agent.stop(),
    ]);
    this.recordedValues.set('codes', codes.filter(code => code !== 0).length);
  },
);

When(
  'the agent of one gang member is killed and restarted',
  async function (this: SystemWorld) {
    const [{instance}] = (await this.taskRuns()).runs;
    await restartAgent(this, this.cluster.instances[instance]);
  },
);

When(
  'the agent of one gang member is paused for {int} ms',
  async function (this: SystemWorld, ms: number) {
    const [{instance}] = (await this.taskRuns()).runs;
    const {agent} = this.cluster.instances[instance];
    agent.signal('SIGSTOP');
    await sleep(ms);
    agent.signal('SIGCONT');
  },
);

When('the owner of the pool is killed', async function (this: SystemWorld) {
  const {owner} = (await this.status()).pools[0];
  await this.cluster.gates.find(g => g.name === owner)!.kill();
});

When(
  'the worker of instance {int} fails all its tasks',
  async function (this: SystemWorld, instance: number) {
    await this.setFaults(this.cluster.instances[instance - 1].worker, {
      failAll: true,
    });
  },
);

When(
  '{int} operators edit the same version of the routes',
  async function (this: SystemWorld, count: number) {
    const {json, headers} = await this.cluster.requestAsOperator(
      'GET',
      '/v1/tables/routes',
    );
    const {routes} = json as {routes: object[]};
    this.recordedValues.set(
      'version',
      Number(String(headers.etag).replaceAll('"', '')),
    );
    const edits = Array.from({length: count}, (unused, i) => {
      const body = {routes: [...routes, {...routes[0], kind: `edit-${i}`}]};
      return this.cluster.requestAsOperator(
        'PUT',
        '/v1/tables/routes',
        body,
        String(headers.etag),
        this.cluster.gates[i % 2],
      );
    });
    const statuses = (await Promise.all(edits)).map(r => r.status);
    this.recordedValues.set('accepted', statuses.filter(s => s === 200).length);
    this.recordedValues.set('refused', statuses.filter(s => s === 412).length);
    this.recordedValues.set('edits', count);
    this.recordedValues.set('editedMs', performance.now());
  },
);

async function restartAgent(
  world: SystemWorld,
  instance: Instance,
  seeds?: string[],
): Promise<void> {
  const index = world.cluster.instances.indexOf(instance);
  const port = Number(new URL(instance.agent.httpUrl).port);
  await instance.agent.kill();
  if (seeds) Object.assign(world.cluster.options, {seedGates: () => seeds});
  instance.agent = await world.cluster.startAgent(index, instance.worker, port);
}

// Outcomes.

Then(
  'the last caller receives {string}',
  async function (this: SystemWorld, outcome: string) {
    await this.awaitPending();
    const {result} = this.submittedRequests.at(-1)!;
    assert.equal(result.outcome, outcome, result.body);
  },
);

Then(
  'the first caller receives {string}',
  async function (this: SystemWorld, outcome: string) {
    await this.awaitPending();
    const {result} = this.submittedRequests[0];
    assert.equal(result.outcome, outcome, result.body);
  },
);

Then(
  'the last caller receives {string} with its own answer',
  async function (this: SystemWorld, outcome: string) {
    await this.awaitPending();
    const {requestId, result} = this.submittedRequests.at(-1)!;
    assert.equal(result.outcome, outcome, result.body);
    assert.ok(isResponseTo(result, requestId), result.body);
  },
);

Then(
  'the first caller receives {string} with its own answer',
  async function (this: SystemWorld, outcome: string) {
    await this.awaitPending();
    const {requestId, result} = this.submittedRequests[0];
    assert.equal(result.outcome, outcome, result.body);
    assert.ok(isResponseTo(result, requestId), result.body);
  },
);

Then(
  'every caller receives {string} with its own answer',
  async function (this: SystemWorld, outcome: string) {
    await this.awaitPending();
    assert.ok(this.submittedRequests.length > 0);
    for (const {requestId, result} of this.submittedRequests) {
      assert.equal(
        result.outcome,
        outcome,
        `${requestId}: ${result.status} ${result.body}`,
      );
      assert.ok(
        isResponseTo(result, requestId),
        `${requestId}: ${result.body}`,
      );
    }
  },
);

Then(
  'every caller receives one of {string}',
  async function (this: SystemWorld, outcomes: string) {
    await this.awaitPending();
    for (const {requestId, result} of this.submittedRequests)
      assert.ok(
        outcomes.split(', ').includes(result.outcome),
        `${requestId}: ${result.outcome} ${result.body}`,
      );
  },
);

Then(
  'a caller that looks up the result at the other gate receives {string}',
  async function (this: SystemWorld, outcome: string) {
    const {requestId, result} = this.submittedRequests[0];
    const response = await getRequest(
      this.runningGates[0].httpUrl,
      this.token,
      result.id!,
      40_000,
    );
    assert.equal(response.outcome, outcome, response.body);
    assert.ok(isResponseTo(response, requestId), response.body);
  },
);

Then(
  'no request that was reported as not_run ran',
  async function (this: SystemWorld) {
    assert.deepEqual(await this.findContradictions(), []);
  },
);

Then(
  'at least {int} of them were reported as not_run',
  function (this: SystemWorld, count: number) {
    const notRun = this.submittedRequests.filter(
      t => t.result.outcome === 'not_run',
    ).length;
    assert.ok(notRun >= count, `${notRun} requests were reported as not_run`);
  },
);

Then(
  /^the request ran (\d+) times?$/,
  async function (this: SystemWorld, count: string) {
    assert.equal((await this.runsOfRequest(REQUEST_ID)).length, Number(count));
  },
);

Then(
  /^the gang ran (\d+) times?$/,
  async function (this: SystemWorld, count: string) {
    assert.equal((await this.taskRuns()).runs.length, Number(count));
  },
);

Then(
  'no request that must run at most once ran twice',
  async function (this: SystemWorld) {
    const runCounts = new Map<string, number>();
    for (const {id} of await this.runs())
      runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
    const answered = this.submittedRequests.filter(t =>
      t.result.body.includes(t.requestId),
    );
    assert.ok(answered.length > 0);
    const atMostOnceIds = new Set(this.atMostOnceIds);
    const repeated = [...runCounts].filter(
      ([id, n]) => n > 1 && atMostOnceIds.has(id),
    );
    assert.deepEqual(repeated, []);
  },
);

Then(
  'the leaving backend server got no new work after {int} ms',
  async function (this: SystemWorld, ms: number) {
    const latestStartWallMs = this.recordedValues.get('left')! + ms;
    const serverRuns = (await this.runs()).filter(r => r.instance === 0);
    assert.ok(serverRuns.length > 0, 'the backend server had no runs');
    assert.deepEqual(
      serverRuns.filter(r => r.startedWallMs > latestStartWallMs),
      [],
    );
  },
);

Then('no run was interrupted', async function (this: SystemWorld) {
  assert.deepEqual(
    (await this.runs()).filter(r => r.cut),
    [],
  );
});

Then('both exited with code 0', function (this: SystemWorld) {
  assert.equal(this.recordedValues.get('codes'), 0);
});

Then(
  'no accelerator was used by two tasks at once',
  async function (this: SystemWorld) {
    assert.equal((await this.taskRuns()).sharedAccelerators, 0);
  },
);

Then(
  'only one attempt completed and no member is still running',
  async function (this: SystemWorld) {
    const {runs} = await this.taskRuns();
    const statesByTask = new Map<string, string[]>();
    for (const {task, state} of runs)
      statesByTask.set(task, [...(statesByTask.get(task) ?? []), state]);
    const attemptStates = [...statesByTask.values()];
    assert.ok(attemptStates.length > 1, 'there was only one attempt');
    const completed = attemptStates.filter(s =>
      s.every(state => state === 'done'),
    );
    assert.equal(completed.length, 1, JSON.stringify([...statesByTask]));
    // A member of a stopped attempt may have ended before it received the stop order, so
    // its state may be other than stopped.
    for (const s of attemptStates)
      assert.ok(
        s.every(state => state !== 'running'),
        JSON.stringify([...statesByTask]),
      );
  },
);

Then(
  'the worker of instance {int} is quarantined',
  async function (this: SystemWorld, instance: number) {
    const {plan} = (await this.status()).pools[0];
    assert.deepEqual(plan!.quarantinedWorkers, [`afinacion-${instance}`]);
  },
);

// Configuration.

Then('the new gate has the newest tables', async function (this: SystemWorld) {
  const expected = (await this.status(this.cluster.gates[0])).versions;
  await waitUntil(
    'the new gate has the newest tables',
    EVENT_TIMEOUT_MS,
    async () => {
      const {versions} = await this.status(this.cluster.gates.at(-1));
      return (
        versions.routes === expected.routes && versions.pools === expected.pools
      );
    },
  );
});

Then(
  'exactly {int} edit is accepted and the others are answered 412',
  function (this: SystemWorld, count: number) {
    assert.equal(this.recordedValues.get('accepted'), count);
    assert.equal(
      this.recordedValues.get('refused'),
      this.recordedValues.get('edits')! - count,
    );
  },
);

Then(
  'that edit is in effect in all gates and agents within {int} ms',
  async function (this: SystemWorld, ms: number) {
    const version = this.recordedValues.get('version')! + 1;
    await waitUntil(
      'the edit is in effect in all gates and agents',
      ms,
      async () => {
        const statuses = await Promise.all(
          this.runningGates.map(g => this.status(g)),
        );
        return statuses.every(
          s =>
            s.versions.routes === version &&
            s.agentVersions.every(a => a.versions.routes === version),
        );
      },
    );
  },
);

Then(
  'an edit of the routes is accepted once',
  async function (this: SystemWorld) {
    const before = (await this.status()).versions.routes;
    const {routes} = this.cluster.options.settingsFiles.tables;
    const version = await this.cluster.putTable('routes', [
      ...routes,
      {...routes[0], kind: 'once'},
    ]);
    assert.equal(version, before + 1);
    await waitUntil(
      'the new version is in effect',
      EVENT_TIMEOUT_MS,
      async () => (await this.status()).versions.routes === before + 1,
    );
  },
);
