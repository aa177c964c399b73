/** Prints the reports of all models. Exits with code 1 when a check fails. */
import {checkModels} from './check_models.js';

let failed = 0;
for (const report of checkModels()) {
  if (!report.passed) failed++;
  const name = report.weakened
    ? `${report.model} without ${report.weakened}`
    : report.model;
  console.log(
    `${report.passed ? 'ok  ' : 'FAIL'} ${name}: ${report.states} states, depth ${report.depth}; ${report.detail}`,
  );
}
process.exit(failed === 0 ? 0 : 1);
