/* global Buffer, setTimeout */
/**
 * HTTP proxy between an agent and its worker. It can keep a call back and forward it later,
 * while its sender has given up, and it can refuse connections like a cut that is not silent.
 */
import {createServer, request} from 'node:http';

/** Delay before a connection for a late call is tried again, in ms. */
const RETRY_MS = 3;

export class Proxy {
  /** Decides by path and body whether a call is kept back. */
  keepsBack = () => false;
  #kept = [];
  #server;
  #from;
  #to;
  #record;

  /** Forwards from one address to another. */
  constructor(from, to, record) {
    this.#from = splitAddress(from);
    this.#to = splitAddress(to);
    this.#record = record;
  }

  open() {
    this.#server = createServer((req, res) => void this.#onRequest(req, res));
    const {host, port} = this.#from;
    return new Promise(resolve => this.#server.listen(port, host, resolve));
  }

  /** Refuses connections and breaks those that are open. */
  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get keptCalls() {
    return this.#kept.length;
  }

  /** Forwards calls that were kept back as soon as a process accepts them; drops the rest. */
  forwardKept(isWanted = () => true) {
    for (const call of this.#kept.splice(0))
      if (isWanted(call)) this.#forwardLate(call);
  }

  async #onRequest(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const {method, url, headers} = req;
    const call = {method, path: url, headers, body: Buffer.concat(chunks)};
    if (this.keepsBack(url, call.body.toString())) {
      call.keptAtMs = Date.now();
      this.#kept.push(call);
      this.#record('keeps back', {path: url, body: call.body.toString()});
      return;
    }
    this.#send(call, answer => {
      if (!answer) return res.destroy();
      res.writeHead(answer.statusCode, answer.headers);
      answer.pipe(res);
    });
  }

  #forwardLate(call) {
    this.#send(call, answer => {
      if (!answer) {
        setTimeout(() => this.#forwardLate(call), RETRY_MS);
        return;
      }
      answer.resume();
      this.#record('forwarded late', {
        path: call.path,
        afterMs: Date.now() - call.keptAtMs,
        status: answer.statusCode,
      });
    });
  }

  /** Calls `onAnswer` once, without an answer if there is none. */
  #send({method, path, headers, body}, onAnswer) {
    const {host, port} = this.#to;
    const req = request(
      {host, port, method, path, headers, agent: false},
      onAnswer,
    );
    req.on('error', () => onAnswer(undefined));
    req.end(body);
  }
}

function splitAddress(text) {
  const [host, port] = text.split(':');
  return {host, port: Number(port)};
}
