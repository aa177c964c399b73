// Compares the test report with KNOWN-RED.txt, prints a summary and sets the exit code.
import {existsSync, readFileSync} from 'node:fs';

const report = readFileSync(process.argv[2], 'utf8');
if (report.trim() === '') {
  console.log('test run was aborted: the test report is empty');
  console.log('0 passed, 1 failed');
  process.exit(1);
}
const known = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter(l => l.startsWith('test: '))
      .map(l => l.slice('test: '.length).trim())
  : [];
let passed = 0;
let failed = 0;
for (const feature of JSON.parse(report)) {
  for (const scenario of feature.elements) {
    const ok = scenario.steps.every(step => step.result.status === 'passed');
    if (ok) passed++;
    else if (known.includes(scenario.name))
      console.log(`KNOWN RED: ${scenario.name}`);
    else {
      failed++;
      console.log(`FAILED: ${feature.name}: ${scenario.name}`);
    }
    if (ok && known.includes(scenario.name))
      console.log(
        `known red scenario passes, remove it from KNOWN-RED.txt: ${scenario.name}`,
      );
  }
}
if (passed === 0) failed++;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
