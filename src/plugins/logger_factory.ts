/** Text log on standard error. Lines are prefixed with the process and the component. */
import {createConsola, LogLevels} from 'consola';

export type LogLevel = 'silent' | 'error' | 'warn' | 'info' | 'debug';

const LEVELS: Readonly<Record<LogLevel, number>> = {
  silent: LogLevels.silent,
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug,
};

export interface Logger {
  error(text: string): void;
  warn(text: string): void;
  info(text: string): void;
  debug(text: string): void;
}

export class LoggerFactory {
  private readonly root;

  constructor(process: string, level: LogLevel) {
    this.root = createConsola({
      level: LEVELS[level],
      stdout: globalThis.process.stderr,
      stderr: globalThis.process.stderr,
      fancy: false,
    }).withTag(process);
  }

  /** Creates the logger of one component. */
  create(part: string): Logger {
    return this.root.withTag(part);
  }
}
