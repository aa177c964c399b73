/** Steps on the gates to which agents keep links. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {WebSocketDialer} from '../../src/agent/gate_dialer.js';
import {GateDirectory} from '../../src/agent/gate_directory.js';
import {STANDBY_LINKS} from '../../src/agent/gate_links.js';
import {HybridClock} from '../../src/core/hybrid_clock.js';
import {AgentServer} from '../../src/gate/agent_server.js';
import {GateRegistry} from '../../src/gate/gate_registry.js';
import {Link} from '../../src/links/link.js';
import {EventLog} from '../../src/plugins/event_log.js';
import {SystemClock} from '../../src/plugins/system_clock.js';
import {
  type AgentMessage,
  type GateJobMessage,
  agentJobCodec,
} from '../../src/protocol/job_messages.js';
import {SilentOutput} from '../fixtures/silent_output.js';

const SEED_COUNT = 3;
/** Interval between attempts to open a link, in ms. */
const ATTEMPT_INTERVAL_MS = 300;

let directories: GateDirectory[] = [];
let addresses: string[] = [];
let nowMs = 0;

/** Fails the selected links to lost gates until all agents have live ones, or time is up. */
function loseGates(lost: ReadonlySet<string>, forMs: number): void {
  for (const endMs = nowMs + forMs; nowMs < endMs; nowMs += ATTEMPT_INTERVAL_MS)
    for (const directory of directories)
      for (const address of directory.selectLinks(nowMs))
        if (lost.has(address)) directory.recordFailure(address, nowMs);
}

Given(
  '{int} agents that know {int} gates',
  (agentCount: number, gateCount: number) => {
    addresses = Array.from(
      {length: gateCount},
      (unused, i) => `10.1.0.${i + 10}:7000`,
    );
    directories = Array.from({length: agentCount}, (unused, i) => {
      const seeds = addresses.slice(0, SEED_COUNT);
      const directory = new GateDirectory(`agent-${i}`, seeds, STANDBY_LINKS);
      directory.addAddresses(addresses);
      return directory;
    });
    nowMs = 0;
  },
);

Then('each agent selects links to {int} gates', (links: number) => {
  for (const directory of directories)
    assert.equal(new Set(directory.selectLinks(nowMs)).size, links);
});

Then('no gate is selected by more than {int} agents', (most: number) => {
  const selected = directories.flatMap(d => d.selectLinks(nowMs));
  for (const address of addresses)
    assert.ok(selected.filter(a => a === address).length <= most, address);
});

Then(
  'each agent selects the leader first as each of the gates leads in turn',
  () => {
    for (const leader of addresses)
      for (const directory of directories) {
        directory.leaderAddress = leader;
        const selected = directory.selectLinks(nowMs);
        assert.equal(selected[0], leader);
        assert.equal(new Set(selected).size, STANDBY_LINKS + 1);
      }
  },
);

When('{int} of the gates are lost', (count: number) =>
  loseGates(new Set(addresses.slice(0, count)), 10_000),
);

When('all gates are lost for {int} ms', (ms: number) =>
  loseGates(new Set(addresses), ms),
);

Then(
  'each agent selects links to {int} gates that are left',
  (links: number) => {
    const left = new Set(addresses.slice(-5));
    for (const directory of directories) {
      const selected = directory.selectLinks(nowMs);
      assert.equal(selected.length, links);
      for (const address of selected) assert.ok(left.has(address), address);
    }
  },
);

Then('each agent still selects its seed gates', () => {
  const seeds = addresses.slice(0, SEED_COUNT);
  for (const directory of directories)
    assert.deepEqual(directory.selectLinks(nowMs).sort(), [...seeds].sort());
});

let registry: GateRegistry;

function renewRow(gate: number, address: string, writtenWallMs: number): void {
  const incarnation = `gate-${gate}-1`;
  registry.set(`gate-${gate}`, {address, incarnation, writtenWallMs, cores: 1});
}

Given('a gate that knows {int} gates', (gateCount: number) => {
  registry = new GateRegistry('gate-0');
  for (let i = 0; i < gateCount; i++) renewRow(i, `10.1.0.${i}:7000`, 0);
});

Then('its list of addresses stays the same while they renew their rows', () => {
  const before = registry.addresses;
  for (let i = 0; i < before.length; i++) renewRow(i, before[i], 30_000);
  assert.equal(registry.addresses, before);
});

Then(
  'its list of addresses is replaced when a gate moves, joins or leaves',
  () => {
    renewRow(3, '10.2.0.3:7000', 60_000);
    assert.ok(registry.addresses.includes('10.2.0.3:7000'));
    assert.ok(!registry.addresses.includes('10.1.0.3:7000'));
    renewRow(99, '10.2.0.99:7000', 60_000);
    assert.ok(registry.addresses.includes('10.2.0.99:7000'));
    registry.delete('gate-99');
    assert.ok(!registry.addresses.includes('10.2.0.99:7000'));
  },
);

const LINK_TIMEOUT_MS = 10_000;

interface TestLink {
  readonly link: Link<GateJobMessage, AgentMessage>;
  /** Resolves with the next event: an answer of the gate, or the end of the link. */
  next(): Promise<void>;
}

let server: AgentServer | undefined;
let agentLinks: TestLink[] = [];
let receivedAtMs: number[] = [];

/** Opens a link whose next event is waited for with `next`. */
async function openLink(port: number): Promise<TestLink> {
  const clock = new SystemClock();
  const ws = new WebSocketDialer().dial(`127.0.0.1:${port}`);
  let resolveNext: () => void = () => undefined;
  const ctx = {
    clock,
    hybridClock: new HybridClock(clock),
    timeoutMs: LINK_TIMEOUT_MS,
  };
  const link = new Link(ws, agentJobCodec, ctx, {
    onMessage: () => resolveNext(),
    onClosed: () => resolveNext(),
  });
  await new Promise(resolve => ws.on('open', resolve));
  const next = (): Promise<void> =>
    new Promise(resolve => (resolveNext = resolve));
  return {link, next};
}

async function sendReport(index: number): Promise<void> {
  const {link, next} = agentLinks[index];
  const handled = next();
  link.send({
    type: 'report',
    agent: 'agent-0',
    sentAtMs: index + 1,
    epoch: 1,
    refusals: [],
  });
  await handled;
}

Given('a gate with two links from one agent', async () => {
  const clock = new SystemClock();
  const log = new EventLog('gate-0', clock, new SilentOutput());
  receivedAtMs = [];
  server = new AgentServer(
    {host: '127.0.0.1', port: 0},
    {
      clock,
      hybridClock: new HybridClock(clock),
      timeoutMs: LINK_TIMEOUT_MS,
    },
    log.forComponent('agents'),
    ({sentAtMs}) => {
      receivedAtMs.push(sentAtMs);
      return {
        type: 'answer',
        sentAtMs,
        epoch: 1,
        leads: true,
        extendsLeases: true,
      };
    },
  );
  const port = await server.listening();
  agentLinks = [await openLink(port), await openLink(port)];
});

When('the agent reports on the second link', () => sendReport(1));

When('it reports on the second link', () => sendReport(1));

When('it reports on the first link', () => sendReport(0));

Then('the gate has received the reports of the second link only', () =>
  assert.deepEqual(receivedAtMs, [2, 2]),
);

After(() => {
  for (const {link} of agentLinks) link.close('the test is over');
  server?.close();
  agentLinks = [];
  server = undefined;
});
