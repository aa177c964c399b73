/** Steps of the scenarios about the graceful stop of gates and agents. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {type ManagedProcess} from '../../harness/managed_process.js';
import {sleep} from '../../harness/wait.js';
import {RawHttpConnection} from '../fixtures/raw_http_connection.js';
import {type SystemWorld} from '../fixtures/system_world.js';

/** Time between two signals, longer than the process takes to handle one, in ms. */
const SIGNAL_INTERVAL_MS = 100;

let connection: RawHttpConnection;

function findProcess(
  world: SystemWorld,
  role: string,
  number: string,
): ManagedProcess {
  const {gates, instances} = world.cluster;
  const index = Number(number) - 1;
  return role === 'gate' ? gates[index] : instances[index].agent;
}

When(
  'a caller sends requests on new connections for {int} seconds',
  function (this: SystemWorld, seconds: number) {
    this.pending.push(sendOnNewConnections(this, seconds * 1000));
  },
);

async function sendOnNewConnections(
  world: SystemWorld,
  durationMs: number,
): Promise<void> {
  const [gate] = world.cluster.gates;
  const endMs = performance.now() + durationMs;
  let count = 0;
  while (performance.now() < endMs) {
    const connection = await RawHttpConnection.open(gate.httpUrl);
    connection.write('GET /v1/requests/none HTTP/1.1\r\nhost: gate\r\n\r\n');
    const response = await connection.readResponse();
    connection.close();
    assert.ok(response, `request ${count} had no response`);
    count++;
  }
  world.recordedValues.set('answers', count);
}

When(
  /^a client opens a connection to (gate|agent) (\d+) and sends nothing$/,
  async function (this: SystemWorld, role: string, number: string) {
    await RawHttpConnection.open(findProcess(this, role, number).httpUrl);
  },
);

When('gate {int} is paused', async function (this: SystemWorld, gate: number) {
  const paused = this.cluster.gates[gate - 1];
  connection = await RawHttpConnection.open(paused.httpUrl);
  connection.write('GET /healthz HTTP/1.1\r\nhost: gate\r\n\r\n');
  assert.equal((await connection.readResponse())?.status, 200);
  paused.signal('SIGSTOP');
});

When(
  'a fit is sent on an open connection of gate {int}',
  function (this: SystemWorld, gate: number) {
    assert.ok(this.cluster.gates[gate - 1].isRunning);
    const body = JSON.stringify({id: 'the-fit', runMs: 50});
    connection.write(
      [
        'POST /v1/requests/chime-fit HTTP/1.1',
        'host: gate',
        `authorization: Bearer ${this.token}`,
        'content-type: application/json',
        `content-length: ${body.length}`,
        '',
        body,
      ].join('\r\n'),
    );
  },
);

When('gate {int} is resumed', async function (this: SystemWorld, gate: number) {
  this.cluster.gates[gate - 1].signal('SIGCONT');
  await sleep(SIGNAL_INTERVAL_MS);
});

When(
  'agent {int} is started again',
  async function (this: SystemWorld, agent: number) {
    const instance = this.cluster.instances[agent - 1];
    const port = Number(new URL(instance.agent.httpUrl).port);
    instance.agent = await this.cluster.startAgent(
      agent - 1,
      instance.worker,
      port,
    );
  },
);

Then('the fit has the response status {int}', async (status: number) => {
  const response = await connection.readResponse();
  connection.close();
  assert.equal(response?.status, status, response?.head);
});

When(
  /^(gate|agent) (\d+) is shut down$/,
  async function (this: SystemWorld, role: string, number: string) {
    const code = await findProcess(this, role, number).stop();
    this.recordedValues.set('code', code ?? -1);
  },
);

When(
  /^gate (\d+) is shut down by (SIG.*)$/,
  async function (this: SystemWorld, gate: string, signals: string) {
    const stopped = findProcess(this, 'gate', gate);
    for (const signal of signals.split(', ')) {
      stopped.signal(signal as NodeJS.Signals);
      await sleep(SIGNAL_INTERVAL_MS);
    }
    this.recordedValues.set('code', (await stopped.exited) ?? -1);
  },
);

Then('every request was answered', async function (this: SystemWorld) {
  await this.awaitPending();
  assert.ok(this.recordedValues.get('answers')! > 0);
});

Then('the process exited with code 0', function (this: SystemWorld) {
  assert.equal(this.recordedValues.get('code'), 0);
});
