/** Schema of the settings file of a gate or an agent. */
import * as z from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a lower-case name, 1 to 63 long');
const port = z.number().int().min(0).max(65535);
const url = z
  .string()
  .regex(/^http:\/\/[0-9.:]+$/, 'an address such as "http://127.0.0.1:7000"');
const wsUrl = z
  .string()
  .regex(/^ws:\/\/[0-9.:]+$/, 'an address such as "ws://127.0.0.1:7100"');
const secret = z.string().min(16, 'a token of at least 16 characters');

const placeSchema = z.strictObject({
  region: name,
  dataCentre: name,
  rack: name.default('none'),
});

const workspaceTokenSchema = z.strictObject({workspace: name, token: secret});

const timesSchema = z.strictObject({
  heartbeatMs: z.number().int().min(50).default(1000),
  linkTimeoutMs: z.number().int().min(150).default(3000),
  configPollMs: z.number().int().min(50).default(500),
  gateRowMs: z.number().int().min(100).default(2000),
  taskLeaseMs: z.number().int().min(500).default(6000),
  stopGraceMs: z.number().int().min(100).default(60_000),
  announcementMs: z.number().int().min(50).default(1000),
});

const limitsSchema = z.strictObject({
  bodyBytes: z
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024),
  answerBytes: z
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024),
  gangBodyBytes: z
    .number()
    .int()
    .min(1024)
    .max(1024 * 1024)
    .default(128 * 1024),
  queuePerService: z.number().int().min(0).default(512),
  recordsPerGate: z.number().int().min(100).default(20_000),
  retryRatio: z.number().min(0).max(1).default(0.1),
  tableReadsPerS: z.number().min(1).default(200),
  tableWritesPerS: z.number().min(1).default(100),
});

export const gateSettingsSchema = z.strictObject({
  role: z.literal('gate'),
  id: name,
  place: placeSchema,
  host: z.string().default('127.0.0.1'),
  httpPort: port,
  linkPort: port,
  tableService: url,
  seedGates: z.array(wsUrl).default([]),
  operatorTokens: z.array(secret).min(1),
  workspaceTokens: z.array(workspaceTokenSchema).min(1),
  /** Secret that processes of the system show each other. */
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
  place: placeSchema,
  host: z.string().default('127.0.0.1'),
  /** Port on loopback where the backend server announces itself. */
  announcePort: port,
  seedGates: z.array(wsUrl).min(1),
  /** Number of gates that an agent keeps connections to. */
  gateLinks: z.number().int().min(1).max(16).default(3),
  /** HTTP address of the worker's task interface. */
  worker: url,
  /** Accelerators of the worker: a power of two up to 16, or 0. */
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
