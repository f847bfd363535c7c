'use strict';

/* The fields of the document, in the order in which they are shown. */
const PRIORITIES = ['batch', 'standard', 'interactive'];
const KINDS = ['model_runner', 'service_runner'];
const VERSION = { name: 'text', memoryMegabytes: 'number', weight: 'number' };
const CALL = { method: 'text', pathPrefix: 'text', repeatable: 'boolean' };
const SECTIONS = {
  deployments: {
    name: 'text', priority: PRIORITIES, minimumReplicas: 'number', versions: [VERSION],
  },
  adapters: { name: 'text', deployment: 'text', memoryMegabytes: 'number' },
  callers: { name: 'text', tokenSha256: 'text', weight: 'number', priority: PRIORITIES },
  services: { name: 'text', outcomePath: 'text', timeoutMilliseconds: 'number', calls: [CALL] },
  upstreams: {
    name: 'text', kind: KINDS, address: 'text', failureDomain: { region: 'text', name: 'text' },
    accelerators: 'number', memoryMegabytes: 'number', checksFencingTokens: 'boolean',
    service: 'text',
  },
};
const WEIGHT_STORE = {
  loadsPerSecond: 'number', concurrentLoads: 'number', adapterLoadsInFlight: 'number',
};

let generation = 0;
let readForm = () => ({});

function element(name, properties, ...children) {
  const created = Object.assign(document.createElement(name), properties);
  created.append(...children);
  return created;
}

function byId(id) {
  return document.getElementById(id);
}

/* Each builder returns the element to show and a function that reads its value. */
function choice(label, values, value) {
  const select = element('select', {}, ...values.map((each) => element('option', {}, each)));
  select.value = value === undefined ? values[0] : value;
  return [element('label', {}, label + ' ', select), () => select.value];
}

function checkbox(label, value) {
  const input = element('input', { type: 'checkbox', checked: value === true });
  return [element('label', {}, label + ' ', input), () => input.checked];
}

function textOrNumber(label, type, value) {
  const input = element('input', { type, value: value === undefined ? '' : value });
  if (type === 'number') {
    input.step = 'any';
  }
  const read = () => {
    if (input.value === '') {
      return undefined;
    }
    return type === 'number' ? Number(input.value) : input.value;
  };
  return [element('label', {}, label + ' ', input), read];
}

function record(label, fields, value) {
  const box = element('fieldset', {}, element('legend', {}, label));
  const readers = {};
  for (const [name, type] of Object.entries(fields)) {
    const [shown, read] = field(name, type, value === undefined ? undefined : value[name]);
    box.append(shown);
    readers[name] = read;
  }
  const read = () => {
    const result = {};
    for (const [name, readOne] of Object.entries(readers)) {
      const one = readOne();
      if (one !== undefined) {
        result[name] = one;
      }
    }
    return result;
  };
  return [box, read];
}

function list(label, fields, values) {
  const box = element('fieldset', {}, element('legend', {}, label));
  const rows = [];
  const add = (value) => {
    const [shown, read] = record('', fields, value);
    const row = { read };
    const remove = element('button', { type: 'button' }, 'Remove');
    remove.onclick = () => {
      rows.splice(rows.indexOf(row), 1);
      shown.remove();
    };
    shown.append(remove);
    rows.push(row);
    box.insertBefore(shown, addButton);
  };
  const addButton = element('button', { type: 'button' }, 'Add');
  addButton.onclick = () => add(undefined);
  box.append(addButton);
  (values || []).forEach(add);
  return [box, () => rows.map((row) => row.read())];
}

function field(label, type, value) {
  if (Array.isArray(type)) {
    return typeof type[0] === 'string' ? choice(label, type, value) : list(label, type[0], value);
  }
  if (typeof type === 'object') {
    return record(label, type, value);
  }
  return type === 'boolean' ? checkbox(label, value) : textOrNumber(label, type, value);
}

function showDocument(configuration) {
  generation = configuration.generation;
  byId('generation').value = generation;
  const form = byId('document');
  form.replaceChildren();
  const readers = {};
  for (const [name, fields] of Object.entries(SECTIONS)) {
    const [shown, read] = list(name, fields, configuration[name]);
    form.append(shown);
    readers[name] = read;
  }
  const [shown, readWeightStore] = record('weightStore', WEIGHT_STORE, configuration.weightStore);
  form.append(shown);
  readForm = () => {
    const result = { generation };
    for (const [name, read] of Object.entries(readers)) {
      result[name] = read();
    }
    result.weightStore = readWeightStore();
    return result;
  };
  byId('editor').hidden = false;
}

function showMessage(text, failed) {
  byId('message').textContent = text;
  byId('message').className = failed ? 'failed' : '';
}

function showTable(title, columns, rows) {
  byId('result').hidden = rows.length === 0;
  byId('result-title').textContent = title;
  const head = element('tr', {}, ...columns.map((each) => element('th', {}, each)));
  const lines = rows.map((row) =>
    element('tr', {}, ...columns.map((each) => element('td', {}, String(row[each])))));
  byId('result-table').replaceChildren(head, ...lines);
}

function showDifference(title, difference) {
  showTable(title, ['kind', 'path', 'before', 'after'], difference.changes);
}

async function call(method, path, body) {
  const answer = await fetch('/operator/' + path, {
    method,
    headers: { Authorization: 'Bearer ' + byId('token').value, 'Content-Type': 'application/json' },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return { status: answer.status, body: await answer.json() };
}

function showFailure(answer) {
  const error = answer.body.error;
  showMessage(error.message + ' (run: ' + error.run + ')', true);
  showTable('', [], []);
  if (error.faults) {
    showTable('What is wrong', ['path', 'found', 'rule'], error.faults);
  }
  if (error.difference) {
    showDifference('What yours would change in the accepted document', error.difference);
  }
}

async function act(method, path, body, succeeded) {
  try {
    const answer = await call(method, path, body);
    if (answer.status === 200) {
      succeeded(answer.body);
    } else {
      showFailure(answer);
    }
  } catch (failure) {
    showMessage('No answer: ' + failure + '. Read the configuration again before you apply.', true);
  }
}

byId('session').onsubmit = (event) => {
  event.preventDefault();
  act('GET', 'configuration', undefined, (configuration) => {
    showTable('', [], []);
    showDocument(configuration);
    showMessage('Generation ' + configuration.generation + ' is in force at this instance.', false);
  });
};

byId('validate').onclick = () =>
  act('POST', 'configuration/validate', readForm(), (answer) => {
    showMessage(answer.valid ? 'The document is valid.' : 'The document is not valid.', !answer.valid);
    if (answer.valid) {
      showDifference('What it changes', answer.difference);
    } else {
      showTable('What is wrong', ['path', 'found', 'rule'], answer.faults);
    }
  });

byId('apply').onclick = () =>
  act('PUT', 'configuration', readForm(), (configuration) => {
    showTable('', [], []);
    showDocument(configuration);
    showMessage('Accepted as generation ' + configuration.generation + '.', false);
  });
