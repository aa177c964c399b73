/** Row kinds of the store: their keys, contents and encoding. */
import {Packr} from 'msgpackr';
import * as z from 'zod';
import {ProtocolError} from '../core/errors.js';
import {pickByRendezvous} from '../core/rendezvous.js';
import {RunEndKind} from '../ports/task_worker.js';
import {type CrashCounts, NO_CRASHES} from './crash_suspects.js';
import {type EndReport} from './engine_messages.js';
import {type JobSpec, type Resources} from './job.js';

/** State of a task as stored. */
export const TaskState = {
  WAITING: 0,
  /** Committed before the start is ordered; the end of the placement is committed too. */
  PLACED: 1,
  DONE: 2,
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** Stored record of one task. */
export interface TaskRecord {
  readonly state: TaskState;
  /** Number of the newest run; 0 if the task was never placed. */
  readonly run: number;
  /** Key of the worker incarnation that it is placed on; empty when it is not placed. */
  readonly worker: string;
  readonly checkpoint: string;
  /** See `TrackedTask.failures`. */
  readonly failures: number;
  /** Crashes of workers under the task; none if absent. */
  readonly crashes?: CrashCounts;
  /**
   * Whether a worker is known to have started a run of the task. A placement alone does not
   * show that. Absent in rows of earlier versions.
   */
  readonly hasStarted?: boolean;
}

export const UNSTARTED_TASK: TaskRecord = {
  state: TaskState.WAITING,
  run: 0,
  worker: '',
  checkpoint: '',
  failures: 0,
  hasStarted: false,
};

/** Whether a run of one of the tasks has started; rows of earlier versions only show placements. */
export function hasStartedTask(tasks: readonly TaskRecord[]): boolean {
  return tasks.some(t => t.hasStarted ?? t.run > 0);
}

/** Result of an ended job. A cancellation is stored in a separate row. */
export const JobResult = {COMPLETED: 'completed', FAILED: 'failed'} as const;
export type JobResult = (typeof JobResult)[keyof typeof JobResult];

/** Tasks per row. A wide step is split into blocks to stay below the row size limit. */
export const BLOCK_TASKS = 256;

export interface BlockRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly block: number;
}

/** Key of a block within its job. */
export function blockKey(ref: BlockRef): string {
  return `${ref.occurrence}.${ref.step}.${ref.block}`;
}

/** Row key of a block. */
export function blockRowKey(job: string, block: string): string {
  return `run/${job}.${block}`;
}

/** Row keys. Each kind has its own prefix, so one change feed carries all in order. */
export const rowKeys = {
  leader: 'seat',
  gate: (name: string): string => `gate/${name}`,
  capacities: (service: string): string => `capacities/${service}`,
  departure: (worker: string): string => `departure/${worker}`,
  job: (id: string): string => `job/${id}`,
  cancellation: (id: string): string => `cancel/${id}`,
  jobResult: (id: string): string => `fate/${id}`,
  block: (b: BlockRef): string => blockRowKey(b.job, blockKey(b)),
};

export type RowKind =
  | {readonly kind: 'seat'}
  | {readonly kind: 'gate'; readonly name: string}
  | {readonly kind: 'capacities'; readonly service: string}
  | {readonly kind: 'departure'; readonly worker: string}
  | {readonly kind: 'job'; readonly job: string}
  | {readonly kind: 'cancel'; readonly job: string}
  | {readonly kind: 'fate'; readonly job: string}
  | {readonly kind: 'run'; readonly ref: BlockRef};

/** Parses a row key; undefined for a key of an unknown kind. */
export function parseRowKey(key: string): RowKind | undefined {
  if (key === rowKeys.leader) return {kind: 'seat'};
  const slash = key.indexOf('/');
  const kind = key.slice(0, slash);
  const name = key.slice(slash + 1);
  if (kind === 'gate') return {kind, name};
  if (kind === 'capacities') return {kind, service: name};
  if (kind === 'departure') return {kind, worker: name};
  if (kind === 'job' || kind === 'cancel' || kind === 'fate')
    return {kind, job: name};
  if (kind !== 'run') return undefined;
  const [job, ...numbers] = name.split('.');
  const [occurrence, step, block] = numbers.map(Number);
  return {kind, ref: {job, occurrence, step, block}};
}

/** Transaction group of all rows that the leader commits. */
const LEADER_GROUP = 'jobs';
/**
 * Transaction groups of the rows that gates write for their callers. They are separate
 * from the leader's group because the store runs the transactions of a group serially,
 * and a slow store would delay the leader's commits behind those of the gates.
 */
const CALLER_GROUPS = ['calls-0', 'calls-1', 'calls-2', 'calls-3'] as const;

export const TRANSACTION_GROUPS: readonly string[] = [
  LEADER_GROUP,
  ...CALLER_GROUPS,
];

/** Transaction group of a row, or of all rows with a key prefix that names a job. */
export function transactionGroupOf(key: string): string {
  const kind = parseRowKey(key);
  if (kind?.kind !== 'job' && kind?.kind !== 'cancel') return LEADER_GROUP;
  return pickByRendezvous(kind.job, CALLER_GROUPS)!;
}

const packr = new Packr({useRecords: false});

const resourcesSchema = z.object({
  cpu: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});
const jobSchema: z.ZodType<JobSpec> = z.object({
  id: z.string(),
  queue: z.string(),
  workspace: z.string().optional(),
  acceptedWallMs: z.number(),
  payload: z.string(),
  steps: z.array(
    z.object({
      count: z.number(),
      request: resourcesSchema,
      estimateMs: z.number(),
      after: z.array(z.number()),
      checkpointing: z.boolean(),
      gang: z.boolean(),
      sameRack: z.boolean(),
      preferredRack: z.string().optional(),
      requiredLabel: z.string().optional(),
      maxPerWorker: z.number().optional(),
    }),
  ),
  schedule: z
    .object({
      occurrences: z.number(),
      firstWallMs: z.number(),
      intervalMs: z.number(),
    })
    .optional(),
  queueAtHandIn: z.object({
    name: z.string(),
    service: z.string(),
    priority: z.number(),
    maxAttempts: z.number(),
    stretch: z.number(),
    targetMs: z.number(),
  }),
});
const jobResultSchema = z.enum([JobResult.COMPLETED, JobResult.FAILED]);
const blockSchema = z.array(
  z.tuple([
    z.literal([TaskState.WAITING, TaskState.PLACED, TaskState.DONE]),
    z.number(),
    z.string(),
    z.string(),
    z.number(),
    // Crashes in all and alone, and whether it has started; absent in rows of earlier versions.
    z.number().optional(),
    z.number().optional(),
    z.boolean().optional(),
  ]),
);

function decode<T>(
  rowName: string,
  value: Uint8Array,
  schema: z.ZodType<T>,
): T {
  let data: unknown;
  try {
    data = packr.unpack(value);
  } catch (err) {
    throw new ProtocolError(
      `expected a ${rowName} row, found bytes that can't be decoded; check that no other program writes the table`,
      {cause: err},
    );
  }
  const result = schema.safeParse(data);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new ProtocolError(
    `a ${rowName} row does not match its schema at ${issue.path.join('.')}: ${issue.message}; check that all processes run the same version`,
  );
}

export function encodeJob(job: JobSpec): Uint8Array {
  return packr.pack(job);
}

export function decodeJob(value: Uint8Array): JobSpec {
  return decode('job', value, jobSchema);
}

export function encodeJobResult(result: JobResult): Uint8Array {
  return packr.pack(result);
}

export function decodeJobResult(value: Uint8Array): JobResult {
  return decode('fate', value, jobResultSchema);
}

export function encodeBlock(tasks: readonly TaskRecord[]): Uint8Array {
  return packr.pack(
    tasks.map(({crashes = NO_CRASHES, hasStarted, ...task}) => [
      task.state,
      task.run,
      task.worker,
      task.checkpoint,
      task.failures,
      crashes.total,
      crashes.alone,
      ...(hasStarted === undefined ? [] : [hasStarted]),
    ]),
  );
}

export function decodeBlock(value: Uint8Array): TaskRecord[] {
  return decode('run', value, blockSchema).map(
    ([state, run, worker, checkpoint, failures, ...added]) => {
      const [total = 0, alone = 0, hasStarted] = added;
      return {
        state,
        run,
        worker,
        checkpoint,
        failures,
        crashes: total > 0 ? {total, alone} : NO_CRASHES,
        ...(hasStarted === undefined ? {} : {hasStarted}),
      };
    },
  );
}

/** The leader row, which names the gate that schedules. */
export interface LeaderRow {
  /** Increases with each change of leader; it is the fencing token of all orders. */
  readonly epoch: number;
  /** Incarnation of the leader; empty after the leader has stepped down. */
  readonly holder: string;
  /** Number of the leader's commit, which makes each write of the row distinct. */
  readonly commit: number;
  /** Link address of the leader. */
  readonly address: string;
}

/** Link address of the current leader; undefined if it has stepped down. */
export function leaderAddressOf(row: LeaderRow): string | undefined {
  return row.holder === '' || row.address === '' ? undefined : row.address;
}

const leaderRowSchema = z.object({
  epoch: z.number(),
  holder: z.string(),
  commit: z.number(),
  address: z.string().default(''), // absent in rows of earlier versions
});

export function encodeLeaderRow(row: LeaderRow): Uint8Array {
  return packr.pack(row);
}

export function decodeLeaderRow(value: Uint8Array): LeaderRow {
  return decode('seat', value, leaderRowSchema);
}

/** The row in which a gate publishes its address. */
export interface GateRow {
  readonly address: string;
  readonly incarnation: string;
  readonly writtenWallMs: number;
  /** Processor capacity of the gate's instance, in cores. */
  readonly cores: number;
}

const gateSchema = z.object({
  address: z.string(),
  incarnation: z.string(),
  writtenWallMs: z.number(),
  cores: z.number().default(0), // absent in rows of earlier versions
});

export function encodeGateRow(gate: GateRow): Uint8Array {
  return packr.pack(gate);
}

export function decodeGateRow(value: Uint8Array): GateRow {
  return decode('gate', value, gateSchema);
}

const capacitiesSchema = z.array(resourcesSchema);

/** Encodes the largest worker capacities of a service. */
export function encodeCapacities(capacities: readonly Resources[]): Uint8Array {
  return packr.pack(capacities);
}

export function decodeCapacities(value: Uint8Array): Resources[] {
  return decode('capacities', value, capacitiesSchema);
}

/** The row in which an agent records that its worker has terminated. */
export interface DepartureRow {
  readonly writtenWallMs: number;
  /** Ends that the worker listed and that no leader is known to have recorded. */
  readonly ends: readonly EndReport[];
}

const departureSchema = z.object({
  writtenWallMs: z.number(),
  // Absent in rows of earlier versions.
  ends: z
    .array(
      z.object({
        number: z.number(),
        task: z.string(),
        run: z.number(),
        kind: z.enum(Object.values(RunEndKind)),
        checkpoint: z.string(),
      }),
    )
    .default([]),
});

export function encodeDeparture(departure: DepartureRow): Uint8Array {
  return packr.pack(departure);
}

export function decodeDeparture(value: Uint8Array): DepartureRow {
  return decode('departure', value, departureSchema);
}

/** Encodes the cancellation row; its version decides if it preceded the job's end. */
export function encodeCancellation(): Uint8Array {
  return packr.pack(true);
}
