/** Command line entry point; runs one stand-in as a process. */
import {type AddressInfo} from 'node:net';
import {Command} from 'commander';
import {type FastifyInstance} from 'fastify';
import {makeBackendServer} from './backend_server.js';
import {makeTableService} from './table_service.js';
import {makeGangWorker} from './worker.js';

interface PortOption {
  readonly port: string;
}

const program = new Command('standins').description(
  'Stand-ins of the platform for tests and the demo.',
);
program
  .command('table')
  .option('--port <port>', 'port to listen on', '0')
  .action((o: PortOption) => listen('table', makeTableService(), o));
program
  .command('worker')
  .option('--port <port>', 'port to listen on', '0')
  .action((o: PortOption) => listen('worker', makeGangWorker(), o));
program
  .command('backend')
  .option('--port <port>', 'port to listen on', '0')
  .requiredOption('--service <name>', 'service that the backend server offers')
  .requiredOption('--slots <count>', 'maximum number of concurrent requests')
  .requiredOption(
    '--agent <url>',
    'base URL of the agent that receives announcements',
  )
  .option('--announce-ms <ms>', 'interval between announcements, in ms', '1000')
  .action(
    (
      o: PortOption & {
        service: string;
        slots: string;
        agent: string;
        announceMs: string;
      },
    ) =>
      listen(
        'backend',
        makeBackendServer({
          service: o.service,
          slots: Number(o.slots),
          agent: o.agent,
          announceMs: Number(o.announceMs),
        }),
        o,
      ),
  );

async function listen(
  name: string,
  http: FastifyInstance,
  options: PortOption,
): Promise<void> {
  await http.listen({host: '127.0.0.1', port: Number(options.port)});
  const {port} = http.server.address() as AddressInfo;
  console.log(JSON.stringify({ready: name, http: `http://127.0.0.1:${port}`}));
}

await program.parseAsync();
