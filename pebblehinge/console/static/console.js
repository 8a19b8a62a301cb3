"use strict";
// Everything is set as text: names come from clients' settings and are never markup.
const byId = (id) => document.getElementById(id);
const mark = { well: "✓ well", slow: "~ slow", cold: "* cold", down: "✗ down", away: "– away" };

function pairs(id, rows) {
  byId(id).replaceChildren(...rows.map(([name, value]) => {
    const div = document.createElement("div"), dt = document.createElement("dt"), dd = document.createElement("dd");
    dt.textContent = name;
    dd.textContent = value;
    div.append(dt, dd);
    return div;
  }));
}

function table(id, rows) {
  byId(id).tBodies[0].replaceChildren(...rows.map((cells) => {
    const tr = document.createElement("tr");
    for (const cell of cells) {
      const td = document.createElement("td");
      td.textContent = cell === null ? "" : cell;
      if (typeof cell === "number") td.className = "n";
      if (typeof cell === "string" && cell.startsWith("✗")) td.className = "bad";
      tr.append(td);
    }
    return tr;
  }));
}

function show(s) {
  byId("head").textContent = s.head + (s.stopping ? " (stopping)" : "");
  const r = s.a_second, l = s.latency_ms;
  pairs("now", [
    ["taken a second", r.taken], ["honoured a second", r.honoured], ["pushed back a second", r["pushed back"]],
    ["terminated a second", r.terminated], ["open", s.open], ["connections", s.connections],
    ["p50 / p99 / p99.9 ms", `${l.p50} / ${l.p99} / ${l.p999}`], ["slots kept waiting", s.waits],
    ["further trips", s.further_trips], ["held bytes", s.held_bytes],
  ]);
  table("why", Object.entries(s.refused_because).sort((a, b) => b[1] - a[1]));
  table("shelfs", s.shelfs.map((x) => [x.slot, x.name, mark[x.health], x.held, x.out, x.mean_ms, x.why]));
  table("volumes", s.volumes.map((v) => [v.name, v.plan, v.limit || "none", v.units, v.reserve, v.share]));
  const more = [];
  for (const [part, values] of Object.entries({ transfers: s.transfers, journal: s.journal, configuration: s.configuration }))
    for (const [name, value] of Object.entries(values || {})) more.push([`${part}: ${name}`, value]);
  pairs("more", more.length ? more : [["none", "none of them is set up here"]]);
  byId("events").replaceChildren(...s.events.slice().reverse().map(([, at, text]) => {
    const li = document.createElement("li");
    li.textContent = `${((s.now_ms - at) / 1000).toFixed(0)} s ago: ${text}`;
    return li;
  }));
}

const source = new EventSource("/events" + location.search);
source.onmessage = (event) => { byId("link").textContent = "live"; show(JSON.parse(event.data)); };
source.onerror = () => { byId("link").textContent = "no connection: trying again"; };
