import {existsSync, readdirSync, readFileSync} from 'node:fs';
import gts from 'gts';

/** Folders whose `imports.json` names the folders that they may import. */
const folders = readdirSync('src').filter(f =>
  existsSync(`src/${f}/imports.json`),
);

/** Turns the declaration of one folder into a lint rule. */
function importRule(folder) {
  const allowed = JSON.parse(
    readFileSync(`src/${folder}/imports.json`, 'utf8'),
  );
  const forbidden = folders.filter(
    f => f !== folder && !allowed.folders.includes(f),
  );
  const group = forbidden.map(f => `../${f}/*`);
  group.push(
    '../../platform/*',
    '../../standins/*',
    '../../tests/*',
    '../../demo/*',
    '../../measure/*',
    '../../spec/*',
  );
  if (!allowed.packages.includes('node')) group.push('node:*');
  const libraries = [
    'ws',
    'msgpackr',
    'fastify',
    'undici',
    'consola',
    'commander',
    'zod',
    'hdr-histogram-js',
    'jsonc-parser',
  ];
  group.push(...libraries.filter(l => !allowed.packages.includes(l)));
  return {
    files: [`src/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group,
              message: `src/${folder}/imports.json does not allow this import.`,
            },
          ],
        },
      ],
    },
  };
}

export default [
  {
    ignores: [
      'dist/',
      'target/',
      'journal/',
      'node_modules/',
      'eslint.config.js',
      '**/*.cjs',
    ],
  },
  ...gts,
  {
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object in place of an enum.',
        },
        {selector: 'ExportDefaultDeclaration', message: 'Use a named export.'},
      ],
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: {globals: {console: 'readonly', process: 'readonly'}},
  },
  ...folders.map(importRule),
];
