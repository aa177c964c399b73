/* global AbortSignal, Buffer, setTimeout */
/** Small helpers of the stand-ins for HTTP with JSON bodies. */
import {Agent, request} from 'node:http';

const agent = new Agent({keepAlive: true, maxSockets: 64});

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Reads a JSON body; undefined if it is empty or not valid. */
export async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return parse(Buffer.concat(chunks).toString('utf8'));
}

export function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/**
 * Sends a request. Resolves with the status and the parsed body, or with the status 0 and
 * the reason if there is no whole response in time.
 */
export function call(address, {method, path, headers, body, timeoutMs}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise(resolve => {
    const req = request(
      {
        agent,
        host,
        port: Number(port),
        method,
        path,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(text),
              }),
        },
        signal: AbortSignal.timeout(timeoutMs),
      },
      res => {
        readJson(res).then(
          answer => resolve({status: res.statusCode, body: answer}),
          err => resolve({status: 0, reason: err.message}),
        );
      },
    );
    req.on('error', err =>
      resolve({status: 0, reason: err.code ?? err.message}),
    );
    req.end(text);
  });
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
