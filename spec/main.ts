/**
 * Prints the reports of all models, or with `--large` those of the larger state spaces.
 * Exits with code 1 when a check fails.
 */
import {checkLargeModels, checkModels} from './check_models.js';

const check = process.argv.includes('--large') ? checkLargeModels : checkModels;
let failed = 0;
for (const report of check()) {
  if (!report.passed) failed++;
  const name = report.weakened
    ? `${report.model} without ${report.weakened}`
    : report.model;
  console.log(
    `${report.passed ? 'ok  ' : 'FAIL'} ${name}: ${report.states} states, depth ${report.depth}; ${report.detail}`,
  );
}
process.exit(failed === 0 ? 0 : 1);
