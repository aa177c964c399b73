/** Reads the deployments described in the settings folder. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {parse} from 'jsonc-parser';
import * as z from 'zod';
import {checkJsonText, requireValid} from '../src/protocol/document_check.js';
import {tablesSchema} from '../src/protocol/tables.js';

const deploymentSchema = z.strictObject({
  region: z.string(),
  dataCentres: z.array(z.string()).min(1),
  service: z.string(),
  instances: z.number().int().min(1),
  slots: z.number().int().min(1),
  workersPerRack: z.number().int().min(1),
  acceleratorsPerWorker: z.number().int(),
  gates: z.number().int().min(1),
});
export type Deployment = z.infer<typeof deploymentSchema>;

/** Settings template of a gate or agent process. */
export type SettingsTemplate = Record<string, unknown>;

export interface DeploymentFiles {
  readonly deployment: Deployment;
  readonly gate: SettingsTemplate;
  readonly agent: SettingsTemplate;
  readonly tables: z.infer<typeof tablesSchema>;
}

/** Location of one instance. */
export interface InstanceLocation {
  readonly dataCentre: string;
  readonly rack: string;
}

/** Reads the settings of one user, such as `foundry`. */
export function readDeploymentFiles(user: string): DeploymentFiles {
  const read = (name: string) =>
    readFileSync(join('settings', user, name), 'utf8');
  return {
    deployment: requireValid(
      checkJsonText(read('deployment.jsonc'), deploymentSchema),
      'deployment.jsonc',
    ),
    gate: parse(read('gate.jsonc')) as SettingsTemplate,
    agent: parse(read('agent.jsonc')) as SettingsTemplate,
    tables: requireValid(
      checkJsonText(read('tables.jsonc'), tablesSchema),
      'tables.jsonc',
    ),
  };
}

/** Distributes instances evenly over the data centres; fills one rack after another. */
export function instanceLocations(deployment: Deployment): InstanceLocation[] {
  const instancesPerDataCentre = Math.ceil(
    deployment.instances / deployment.dataCentres.length,
  );
  return Array.from({length: deployment.instances}, (unused, i) => {
    const dataCentreIndex = Math.floor(i / instancesPerDataCentre);
    const rackIndex = Math.floor(
      (i % instancesPerDataCentre) / deployment.workersPerRack,
    );
    return {
      dataCentre: deployment.dataCentres[dataCentreIndex],
      rack: `rack-${rackIndex + 1}`,
    };
  });
}
