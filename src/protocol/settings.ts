/** Schema of the settings file of a gate or an agent. */
import * as z from 'zod';

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'a lower-case name of 1 to 63 characters',
  );
const port = z.number().int().min(0).max(65535);
const httpUrl = z
  .string()
  .regex(/^http:\/\/[0-9.:]+$/, 'an address such as "http://127.0.0.1:7000"');
const webSocketUrl = z
  .string()
  .regex(/^ws:\/\/[0-9.:]+$/, 'an address such as "ws://127.0.0.1:7100"');
const secret = z.string().min(16, 'a token of at least 16 characters');

const locationSchema = z.strictObject({
  region: name,
  dataCentre: name,
  rack: name.default('none'),
});

const workspaceTokenSchema = z.strictObject({workspace: name, token: secret});

/** Intervals and timeouts, in ms. */
const timesSchema = z.strictObject({
  /** Interval between heartbeats on a link. */
  heartbeatMs: z.number().int().min(50).default(1000),
  /** Handshake timeout; also the time without a message after which a link is closed. */
  linkTimeoutMs: z.number().int().min(150).default(3000),
  /** Interval at which a gate polls the table service for new tables. */
  configPollMs: z.number().int().min(50).default(500),
  /** Interval at which a gate updates its row in the table service. */
  gateRowMs: z.number().int().min(100).default(2000),
  /** Lease duration of a gang task at its worker. */
  taskLeaseMs: z.number().int().min(500).default(6000),
  /** Longest wait for running work during a graceful stop. */
  stopGraceMs: z.number().int().min(100).default(60_000),
  /** Expected interval between the announcements of a backend server. */
  announcementMs: z.number().int().min(50).default(1000),
});

const limitsSchema = z.strictObject({
  /** Largest body of a request, in bytes. */
  bodyBytes: z
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024),
  /** Largest answer of a backend server, in bytes. */
  answerBytes: z
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024),
  /** Largest body of a gang request, in bytes. */
  gangBodyBytes: z
    .number()
    .int()
    .min(1024)
    .max(1024 * 1024)
    .default(128 * 1024),
  /** Largest number of requests that wait at a gate for one service. */
  queuePerService: z.number().int().min(0).default(512),
  /** Largest number of request records that a gate keeps in memory. */
  recordsPerGate: z.number().int().min(100).default(20_000),
  /** Retries allowed per request, as an average over the requests of a service. */
  retryRatio: z.number().min(0).max(1).default(0.1),
  /** Largest rates of calls from one gate to the table service. */
  tableReadsPerS: z.number().min(1).default(200),
  tableWritesPerS: z.number().min(1).default(100),
});

export const gateSettingsSchema = z.strictObject({
  role: z.literal('gate'),
  id: name,
  place: locationSchema,
  host: z.string().default('127.0.0.1'),
  httpPort: port,
  linkPort: port,
  tableService: httpUrl,
  seedGates: z.array(webSocketUrl).default([]),
  operatorTokens: z.array(secret).min(1),
  workspaceTokens: z.array(workspaceTokenSchema).min(1),
  /** Shared secret with which gates and agents authenticate to each other. */
  clusterToken: secret,
  times: timesSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  logLevel: z
    .enum(['silent', 'error', 'warn', 'info', 'debug'])
    .default('info'),
  seed: z.number().int().default(1),
});
export type GateSettings = z.infer<typeof gateSettingsSchema>;

export const agentSettingsSchema = z.strictObject({
  role: z.literal('agent'),
  id: name,
  place: locationSchema,
  host: z.string().default('127.0.0.1'),
  /** Loopback port on which the agent accepts the announcements of its backend server. */
  announcePort: port,
  seedGates: z.array(webSocketUrl).min(1),
  /** Number of gates that the agent connects to. */
  gateLinks: z.number().int().min(1).max(16).default(3),
  /** HTTP address of the worker's task API. */
  worker: httpUrl,
  /** Accelerators of the worker: 0, or a power of two up to 16. */
  accelerators: z.literal([0, 1, 2, 4, 8, 16]).default(8),
  clusterToken: secret,
  times: timesSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  logLevel: z
    .enum(['silent', 'error', 'warn', 'info', 'debug'])
    .default('info'),
  seed: z.number().int().default(1),
});
export type AgentSettings = z.infer<typeof agentSettingsSchema>;

export const settingsSchema = z.discriminatedUnion('role', [
  gateSettingsSchema,
  agentSettingsSchema,
]);
export type Settings = z.infer<typeof settingsSchema>;
export type Times = GateSettings['times'];
export type Limits = GateSettings['limits'];
