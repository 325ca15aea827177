"""Stand-ins for the cases of the review: platform store, workers, clients and the operator.

They speak the published protocol over loopback addresses only. Each machine has an address of its
own in 127.0.0.0/8 and runs one real `trefoil-proxy` process, started as the deploy file says.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/tools/trefoil-proxy/trefoil-proxy"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = sys.argv[1:2] != ["0"]  # run.sh passes on its variable TROUBLE
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowS": 3, "ackS": 4, "catchUpS": 4, "drainS": 2,
    "graceS": 6, "lossSlackS": 0.2, "configApplyS": 2, "rollbackSlackS": 0.25, "maxStretchS": 5,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "budgetSlack": 47, "recoveryS": 15,
}
MEMORY_MB = 260


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes `record.txt` beside the script: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now():8.3f} {event} {text}\n")
            self._file.flush()


def free_ports(addresses, count):
    """Returns ports that are free at all of the addresses."""
    found = []
    for port in random.sample(range(20000, 32000), 4000):
        probes = []
        try:
            for address in addresses:
                probe = socket.socket()
                probes.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((address, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for probe in probes:
                probe.close()
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


# --- HTTP/1.1 -----------------------------------------------------------------------------------


class Reader:
    """Reads HTTP/1.1 messages from a socket; `pace` may delay before each read."""

    def __init__(self, sock, pace=None, chunk=65536):
        self.sock = sock
        self.pace = pace
        self.chunk = chunk
        self.buffer = b""

    def more(self):
        if self.pace:
            self.pace()
        data = self.sock.recv(self.chunk)
        if not data:
            raise EOFError
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def exactly(self, count, sink=None):
        parts = []
        while count > 0:
            if not self.buffer:
                self.more()
            part, self.buffer = self.buffer[:count], self.buffer[count:]
            count -= len(part)
            if sink is None:
                parts.append(part)
            else:
                sink(len(part))
        return b"".join(parts)

    def headers(self):
        """Returns the fields in lower case, and the raw lines."""
        fields, lines = {}, []
        while True:
            line = self.line()
            if not line:
                return fields, lines
            lines.append(line)
            name, _, value = line.partition(b":")
            fields[name.decode("latin-1").lower()] = value.strip().decode("latin-1")

    def body(self, fields, sink=None):
        if "chunked" in fields.get("transfer-encoding", "").lower():
            parts = []
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    self.headers()
                    return b"".join(parts)
                parts.append(self.exactly(size, sink))
                self.exactly(2)
        return self.exactly(int(fields.get("content-length", "0")), sink)


class Request:
    def __init__(self, method, target, fields, lines):
        self.method, self.target, self.fields, self.lines = method, target, fields, lines
        self.id = fields.get("x-request-id", "")
        self.body = b""


def read_request_head(reader):
    method, target, _ = reader.line().decode("latin-1").split(" ", 2)
    fields, lines = reader.headers()
    return Request(method, target, fields, lines)


def encode(status, fields, body=b"", length=True):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
              503: "Service Unavailable"}.get(status, "Status")
    head = f"HTTP/1.1 {status} {reason}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


class Server:
    """A listener with one thread for each connection."""

    def __init__(self, address, serve, receive_buffer=0):
        self._serve = serve
        self._open = set()
        self._lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind(address)
        self.listener.listen(512)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(sock)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        try:
            self._serve(sock)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(sock)
            sock.close()

    def close(self):
        self.listener.close()
        with self._lock:
            for sock in self._open:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


# --- The platform's store -------------------------------------------------------------------------


class Store:
    """Linearizable store with range reads and watches, as the pages describe it."""

    def __init__(self, address):
        self.address = address
        self._items = {}
        self._events = []
        self._revision = 100
        self._changed = threading.Condition()
        self._server = Server(address, self._serve)

    def put(self, key, document):
        self.put_text(key, json.dumps(document))

    def put_text(self, key, text):
        value = base64.b64encode(text.encode()).decode()
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("created", self._revision)
            item = {"key": key, "value": value, "revision": self._revision, "created": created,
                    "lease": 0}
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision, "tombstone": True})
            self._changed.notify_all()

    def _serve(self, sock):
        reader = Reader(sock)
        while True:
            request = read_request_head(reader)
            reader.body(request.fields)
            parts = urlsplit(request.target)
            query = {name: values[0] for name, values in
                     parse_qs(parts.query, keep_blank_values=True).items()}
            time.sleep(0.004)
            status, document = self._answer(parts.path, query)
            sock.sendall(encode(status, [("Content-Type", "application/json")],
                                json.dumps(document).encode()))

    def _answer(self, path, query):
        with self._changed:
            if path == "/kv-key":
                item = self._items.get(query.get("key", ""))
                if item is None:
                    return 404, {"storeRevision": self._revision}
                return 200, dict(item, storeRevision=self._revision)
            prefix = query.get("pathPrefix", "")
            after = query.get("after", "")
            if path == "/kv-range":
                items = [item for key, item in sorted(self._items.items())
                         if key.startswith(prefix) and key > after]
                return 200, {"items": items, "hasMore": False, "storeRevision": self._revision}
            if path == "/kv-watch":
                return self._watch(prefix, int(after), min(int(query.get("waitMs", "0")), 30000))
        return 404, {}

    def _watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for event in self._events
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            self._changed.wait(left)


# --- Workers ----------------------------------------------------------------------------------------


class Worker:
    """A sound worker. `answer(worker, request, sock)` sends the response to one request; the body is
    read before it, at the pace of `pace` if there is one."""

    def __init__(self, site, name, service, address, zone, answer, pace=None, receive_buffer=0,
                 slots=200):
        self.site, self.name, self.service, self.address = site, name, service, address
        self._answer, self._pace = answer, pace
        self.bytes_read = 0
        self.id = f"i-{name}"
        self.born = int(time.time() * 1000)
        self._entry = {
            "address": f"{address[0]}:{address[1]}", "born": self.born,
            "info": {"service": service, "version": "v1", "zone": zone, "maxConcurrency": slots},
            "status": {"state": "ready", "sequence": 1, "coldRemainingS": 0}}
        self._server = Server(address, self._serve, receive_buffer)
        site.store.put(f"servers/{self.id}", self._entry)

    def stamp(self, request):
        return f"{self.id}.{request.id}"

    def fields(self, request):
        return [("X-Request-Id", request.id), ("X-Instance-Id", self.id),
                ("X-Server-Stamp", self.stamp(request))]

    def _count(self, size):
        self.bytes_read += size

    def _serve(self, sock):
        reader = Reader(sock)
        while True:
            reader.pace = None
            request = read_request_head(reader)
            if request.target == "/healthz":
                sock.sendall(encode(200, [("X-Instance-Id", self.id)]))
                continue
            expected = request.fields.get("x-expect-instance", self.id)
            if expected != self.id:
                reader.body(request.fields)
                sock.sendall(encode(421, [("X-Request-Id", request.id), ("X-Not-Executed", "1"),
                                          ("X-Instance-Id", self.id)]))
                continue
            self.site.record.write("run", worker=self.name, id=request.id, target=request.target)
            reader.pace = self._pace
            has_body = "content-length" in request.fields or "transfer-encoding" in request.fields
            if has_body:
                reader.body(request.fields, self._count)
            self._answer(self, request, sock)


# --- Machines ---------------------------------------------------------------------------------------


class Machine:
    """A machine with one proxy process."""

    def __init__(self, site, index, zone, service):
        self.site, self.index, self.zone, self.service = site, index, zone, service
        self.ip = site.ips[index]
        self.process = None
        self.starts = 0
        self.caller_address = (self.ip, site.outbound_port)
        self.worker_address = (self.ip, site.worker_port)
        self.settings = os.path.join(site.folder, f"boot-{index}.yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(self._settings_text())

    def _settings_text(self):
        site = self.site
        bounds = "".join(f'  - "{name}={value}"\n' for name, value in site.bounds.items())
        return (
            f'nodeId: "sidecar-{self.zone}-{self.index}"\nrole: "proxy"\nmachineClass: "sidecar"\n'
            f'serves:\n  - "sidecar"\nip: "{self.ip}"\nzone: "{self.zone}"\nregion: "region"\n'
            f'zones:\n  {self.zone}: "region"\nlistenAddrs:\n'
            f'  inbound: "{self.ip}:{site.inbound_port}"\n'
            f'  outbound: "{self.ip}:{site.outbound_port}"\n'
            f'  ready: "{self.ip}:{site.ready_port}"\n'
            f'internalPorts:\n  - {site.internal_port}\n  - {site.internal_port}\n'
            'seeds: []\nbootstrap: true\ninTolerance: false\n'
            f'limits:\n  cpuShare: 0.4\n  cpuCores: 1\n  memoryMb: {MEMORY_MB}\n  maxFds: 4100\n'
            '  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: "platform"\n'
            'entry: "static"\nheartbeatS: 1.5\ncontracts:\n  - "base"\n  - "drain"\n'
            'faultTolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n'
            f'bounds:\n{bounds}appAddr: "{self.ip}:{site.worker_port}"\n'
            f'service: "{self.service}"\nplatform:\n'
            f'  address: "{site.store.address[0]}:{site.store.address[1]}"\n  form: "read"\n'
            '  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n'
            '  ttlMinS: 1\n')

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["TREFOILSAIL_CONFIG"] = self.settings
        log = open(os.path.join(self.site.folder, f"proxy-{self.index}.log"), "ab")
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.starts += 1

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.site.ready_port), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=8):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return
            if self.process.poll() is not None:
                break
            time.sleep(0.1)
        raise CannotRun(f"machine {self.index} is not ready")

    def signal(self, number):
        self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


def config_document(rules):
    """Returns a config. `rules` holds dictionaries with host, prefix, service, and further fields if
    they differ from the defaults."""
    listeners, services = {}, {}
    for number, rule in enumerate(rules):
        services[rule["service"]] = {
            "name": rule["service"], "healthPath": "/healthz", "maxConnections": 424,
            "protocol": "h1", "tls": False}
        listener = listeners.setdefault(rule["host"], {"host": rule["host"], "rules": []})
        listener["rules"].append({
            "name": f"r-{number}", "kind": rule.get("kind", "idempotent"), "targetLatencyS": 2,
            "priority": 1, "match": {"pathPrefix": rule["prefix"]},
            "action": {"service": rule["service"], "timeoutS": rule.get("timeout_s", 5),
                       "maxAttempts": 2}})
    return {"version": "r7",
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                       "idleTimeoutS": 15},
            "listeners": list(listeners.values()), "clusters": list(services.values())}


class Site:
    """A small deployment. `machines` holds a (zone, service) pair for each machine."""

    def __init__(self, record, machines, bounds=None):
        self.record = record
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.folder = tempfile.mkdtemp(prefix="review-")
        block = random.randrange(16, 240)
        net = random.randrange(1, 250)
        self.ips = [f"127.{block}.{net}.{index + 1}" for index in range(len(machines))]
        store_ip = f"127.{block}.{net}.250"
        ports = free_ports(self.ips + [store_ip], 6)
        (self.inbound_port, self.outbound_port, self.ready_port, self.worker_port,
         self.internal_port, store_port) = ports
        self.store = Store((store_ip, store_port))
        self.machines = [Machine(self, index, zone, service)
                         for index, (zone, service) in enumerate(machines)]

    def configure(self, rules):
        """Writes the first config with these rules."""
        self.store.put("op/config", config_document(rules))

    def start(self):
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            machine.wait_ready()
        time.sleep(0.5)

    def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Platform(threading.Thread):
    """Kills a process that exceeds its memory, and starts a process again that has ended."""

    RESTART_S = 0.5

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.ends, self.peak_mb = site, [0] * len(site.machines), 0
        self.is_over = False

    def run(self):
        while not self.is_over:
            for machine in self.site.machines:
                used = machine.resident_mb()
                self.peak_mb = max(self.peak_mb, int(used))
                if machine.process.poll() is None and used > MEMORY_MB:
                    self.site.record.write("over_memory", machine=machine.index, mb=int(used),
                                           limit_mb=MEMORY_MB)
                    machine.process.kill()
                    machine.process.wait()
                if machine.process.poll() is not None:
                    self.ends[machine.index] += 1
                    time.sleep(self.RESTART_S)
                    machine.start()
            time.sleep(0.005)

    def close(self):
        self.is_over = True
        if self.is_alive():
            self.join(5)


# --- Clients ----------------------------------------------------------------------------------------


def request_bytes(method, host, path, request_id, deadline_ms, body=b"", fields=()):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
    head += f"X-Deadline-Ms: {deadline_ms}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Answer:
    """What a client got for one request; `status` is 0 if no response head came."""

    def __init__(self):
        self.status, self.fields, self.lines = 0, {}, []
        self.size, self.is_complete, self.error, self.at = 0, False, "", 0.0


def read_answer(reader, record, request_id):
    """Reads one response. Never raises: a broken connection makes an incomplete answer."""
    answer = Answer()

    def count(size):
        answer.size += size

    try:
        answer.status = int(reader.line().split(b" ")[1])
        answer.fields, answer.lines = reader.headers()
        reader.body(answer.fields, count)
        answer.is_complete = True
    except EOFError:
        answer.error = "closed"
    except (OSError, ValueError) as error:
        answer.error = type(error).__name__
    answer.at = record.now()
    record.write("answer", id=request_id, status=answer.status, bytes=answer.size,
                 complete=int(answer.is_complete), error=answer.error or "-")
    return answer


def connect(address, timeout, receive_buffer=0):
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.settimeout(timeout)
    sock.connect(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def run_case(folder, play):
    """Runs `play(record)`, which returns a list of broken rules, and ends with the exit code."""
    def time_out(*_):
        raise CannotRun("took too long")

    record = Record(folder)
    signal.signal(signal.SIGALRM, time_out)
    signal.alarm(110)
    try:
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CannotRun("trefoil-proxy is not built")
        broken = play(record)
    except CannotRun as error:
        record.write("not_run", why=str(error).replace(" ", "_"))
        print(f"could not run: {error}")
        code = NOT_RUN
    except Exception as error:  # a fault of the test, not of the product
        record.write("not_run", why=repr(error).replace(" ", "_"))
        print(f"could not run: {error!r}")
        code = NOT_RUN
    else:
        for line in broken:
            record.write("broken", rule=line.replace(" ", "_"))
            print(line)
        code = BROKEN if broken else HELD
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
