/** Kernel: plug-ins register factories by kind and name; the wiring looks them up. */
import {LagoonError} from './errors.js';

/** Something that adds factories to a kernel. */
export interface Plugin {
  register(kernel: Kernel): void;
}

/** Names one kind of part that plug-ins provide, with the types of its factory. */
export interface PartKind<Part, Options> {
  readonly kind: string;
  /** Carries the types; never set. */
  readonly types?: (options: Options) => Part;
}

type Factory = (options: unknown) => unknown;

export class Kernel {
  private readonly factories = new Map<string, Factory>();

  constructor(plugins: readonly Plugin[] = []) {
    for (const plugin of plugins) plugin.register(this);
  }

  /** Adds a factory; each name may be taken once per kind. */
  provide<Part, Options>(
    part: PartKind<Part, Options>,
    name: string,
    factory: (options: Options) => Part,
  ): void {
    const key = `${part.kind}/${name}`;
    if (this.factories.has(key))
      throw new LagoonError(
        `plug-in "${key}" is registered twice; register it once`,
      );
    this.factories.set(key, factory as Factory);
  }

  /** Builds a part with the named factory. */
  make<Part, Options>(
    part: PartKind<Part, Options>,
    name: string,
    options: Options,
  ): Part {
    const factory = this.factories.get(`${part.kind}/${name}`);
    if (!factory)
      throw new LagoonError(
        `no plug-in "${part.kind}/${name}"; registered: ${this.names(part).join(', ') || 'none'}`,
      );
    return factory(options) as Part;
  }

  /** Names registered for a kind. */
  names<Part, Options>(part: PartKind<Part, Options>): string[] {
    const prefix = `${part.kind}/`;
    return [...this.factories.keys()]
      .filter(k => k.startsWith(prefix))
      .map(k => k.slice(prefix.length));
  }
}
