#!/usr/bin/env node
/** Command line interface. */
import {readFileSync} from 'node:fs';
import {Command} from 'commander';
import {LagoonError} from '../core/errors.js';
import {TABLE_NAMES} from '../core/tables.js';
import {makeDaemon} from '../daemons/make_daemon.js';
import {checkJsonText, requireValid} from '../protocol/document_check.js';
import {type Settings, settingsSchema} from '../protocol/settings.js';
import {checkFile} from './check_file.js';
import {OperatorClient} from './operator_client.js';

const ExitCode = {EXPECTED_ERROR: 1, INTERNAL_ERROR: 2} as const;

interface GateOptions {
  readonly gate: string;
  readonly token: string;
}

const program = new Command('lagoonshunt')
  .description(
    'Scheduler for multi-accelerator jobs under workspace guarantees.',
  )
  .showHelpAfterError();

for (const role of ['gate', 'agent'] as const) {
  program
    .command(role)
    .description(`run one ${role}`)
    .requiredOption('--settings <file>', 'settings file, JSON with comments')
    .action((options: {settings: string}) => runDaemon(role, options.settings));
}

program
  .command('check')
  .description('check a settings file or a table and list every fault')
  .argument('<file>')
  .action((file: string) => console.log(checkFile(file)));

const table = program.command('table').description('read or replace a table');
addGateOptions(
  table.command('get').argument('<table>', TABLE_NAMES.join(' or ')),
).action((name: string, options: GateOptions) =>
  printReply(options, client => client.getTable(name)),
);
addGateOptions(
  table
    .command('put')
    .argument('<table>', TABLE_NAMES.join(' or '))
    .argument('<file>'),
)
  .option(
    '--if-match <version>',
    'version that the edit is based on; defaults to the current version',
  )
  .action(
    (name: string, file: string, options: GateOptions & {ifMatch?: string}) =>
      printReply(options, client =>
        client.putTable(name, readFileSync(file, 'utf8'), options.ifMatch),
      ),
  );

addGateOptions(
  program
    .command('status')
    .description('show processes, versions, pools and guarantees'),
).action((options: GateOptions) =>
  printReply(options, client => client.status()),
);

addGateOptions(
  program
    .command('timeline')
    .description('show the events of all processes in order of time'),
)
  .option('--subject <id>', 'only events of one request, gang or pool')
  .option('--limit <count>', 'maximum number of events', '200')
  .action((options: GateOptions & {subject?: string; limit: string}) =>
    printReply(options, client =>
      client.timeline(options.limit, options.subject),
    ),
  );

function addGateOptions(command: Command): Command {
  return command
    .requiredOption(
      '--gate <url>',
      'address of any gate, such as http://127.0.0.1:7000',
    )
    .requiredOption('--token <token>', 'operator token');
}

async function printReply(
  options: GateOptions,
  call: (client: OperatorClient) => Promise<string>,
): Promise<void> {
  console.log(await call(new OperatorClient(options.gate, options.token)));
}

async function runDaemon(role: Settings['role'], file: string): Promise<void> {
  const settings = requireValid(
    checkJsonText(readFileSync(file, 'utf8'), settingsSchema),
    file,
  );
  if (settings.role !== role) {
    throw new LagoonError(
      `${file} is for role "${settings.role}"; run "lagoonshunt ${settings.role} --settings ${file}"`,
    );
  }
  const daemon = makeDaemon(settings);
  const addresses = await daemon.start();
  console.log(JSON.stringify({ready: settings.id, ...addresses}));
  let stopping: Promise<void> | undefined;
  // Handlers remain installed: a repeated signal must not end the process before its
  // requests are answered.
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.on(signal, () => {
      stopping ??= daemon.stop().then(() => process.exit(0));
    });
}

try {
  await program.parseAsync();
} catch (err) {
  const isExpectedError =
    err instanceof LagoonError || (err as {code?: string}).code === 'ENOENT';
  console.error(isExpectedError ? (err as Error).message : err);
  // Exits explicitly, since open sockets of a partly started process would keep it alive.
  process.exit(
    isExpectedError ? ExitCode.EXPECTED_ERROR : ExitCode.INTERNAL_ERROR,
  );
}
