//! Real processes for tests: the platform, back ends, daemons, a trainer and load.
//!
//! Every process is a child of the test, on loopback ports that were free a moment before, and is
//! killed by its identifier when the test ends.
#![allow(dead_code, reason = "each test file uses a part of this")]

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::Client;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

/// Names and zones of the gauge team's daemons.
pub const ZONES: [&str; 3] = ["shawinigan", "la-tuque", "trois-rivieres"];
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const WAIT_POLL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for a condition; a test that waits too long fails.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        std::thread::sleep(WAIT_POLL);
    }
}

/// Sends one request; `None` when there was no whole answer.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(StatusCode, String)> {
    let url = Url::parse(&format!("http://{address}{path}")).expect("a valid path");
    let mut request = Request::new(method, url);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    let client = Client::new();
    let answer = client.fetch(address, request, REQUEST_TIMEOUT, 1 << 26);
    let (status, bytes) = smol::block_on(answer).ok()?;
    Some((status, String::from_utf8(bytes).expect("answers are UTF-8")))
}

/// Fetches a JSON document.
pub fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let (status, body) = request(Method::Get, address, path, &[], "")?;
    status.is_success().then(|| serde_json::from_str(&body).expect("the answer is JSON"))
}

/// Posts a JSON document and expects success.
pub fn post(address: SocketAddr, path: &str, body: &str) {
    let answer = request(Method::Post, address, path, &[], body);
    let status = answer.as_ref().map(|(status, _)| *status);
    assert!(status.is_some_and(|status| status.is_success()), "{path}: {answer:?}");
}

/// Ports that were handed out in this test run.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Loopback addresses that were free a moment ago, none of them twice in one test run.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut given = GIVEN.lock().expect("no panic while the lock is held");
    // Held until enough are found, so that the system does not offer one of them again.
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        if given.insert(address.port()) {
            addresses.push(address);
        }
        listeners.push(listener);
    }
    addresses
}

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
    command: Vec<String>,
    log: PathBuf,
    address: Option<SocketAddr>,
    /// Runs that the log told of before this one.
    earlier_runs: usize,
}

impl Process {
    /// Starts a process that listens at an address, and waits until it does.
    pub fn serve(
        directory: &Path,
        name: &str,
        program: &Path,
        arguments: &[String],
        address: SocketAddr,
    ) -> Self {
        let mut process = Self::start(directory, name, program, arguments);
        process.address = Some(address);
        process.wait_listening();
        process
    }

    /// Another process may have taken a port meanwhile: then it is tried again. That something listens
    /// there shows nothing, it may be that process. This one says that it has started once it has bound.
    fn wait_listening(&mut self) {
        let Some(address) = self.address else {
            return;
        };
        let name = self.log.display().to_string();
        wait_until(&format!("{name} shows a process that listens"), || {
            if self.has_ended() {
                self.child = spawn(&self.command, &self.log);
            }
            self.runs() > self.earlier_runs && TcpStream::connect(address).is_ok()
        });
    }

    /// Runs that the log tells of.
    fn runs(&self) -> usize {
        self.log().matches("event=started").count()
    }

    fn start(directory: &Path, name: &str, program: &Path, arguments: &[String]) -> Self {
        let log = directory.join(format!("{name}.log"));
        let mut command = vec![program.display().to_string()];
        command.extend_from_slice(arguments);
        let child = spawn(&command, &log);
        Self { child, command, log, address: None, earlier_runs: 0 }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("a small identifier"));
        kill(pid, signal).expect("the child is there");
    }

    /// Ends it without warning.
    pub fn kill(&mut self) {
        self.child.kill().expect("the child is there");
        self.child.wait().expect("the child can be waited for");
    }

    /// Asks it to stop, and waits for it.
    pub fn terminate(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.child.wait().expect("the child can be waited for")
    }

    /// Pauses it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn wake(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts it again after it ended.
    pub fn restart(&mut self) {
        self.earlier_runs = self.runs();
        self.child = spawn(&self.command, &self.log);
        self.wait_listening();
    }

    /// What it logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(command: &[String], log: &Path) -> Child {
    let file = File::options().create(true).append(true).open(log).expect("a writable folder");
    Command::new(&command[0])
        .args(&command[1..])
        .stdin(Stdio::null())
        .stdout(file.try_clone().expect("a file"))
        .stderr(file)
        .spawn()
        .unwrap_or_else(|error| panic!("{}: {error}; build the workspace first", command[0]))
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A daemon and where it listens.
pub struct Daemon {
    /// Its process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// For callers.
    pub http: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

impl Daemon {
    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        request(Method::Get, self.admin, "/readyz", &[], "")
            .is_some_and(|(status, _)| status.is_success())
    }

    /// Revision of its settings; 0 when it does not answer.
    pub fn revision(&self) -> u64 {
        let status = get_json(self.admin, "/admin/status");
        status.and_then(|status| status["settings_revision"].as_u64()).unwrap_or(0)
    }
}

/// Clusters that run at the same time in one test program: more would only wait for each other.
const MAX_CLUSTERS: usize = 4;
static CLUSTERS: Mutex<usize> = Mutex::new(0);
static CLUSTER_ENDED: Condvar = Condvar::new();

/// The right to run a cluster.
struct Place;

impl Place {
    fn wait() -> Self {
        let running = CLUSTERS.lock().expect("no panic while the lock is held");
        let is_full = |running: &mut usize| *running >= MAX_CLUSTERS;
        let running = CLUSTER_ENDED.wait_while(running, is_full);
        *running.expect("no panic while the lock is held") += 1;
        Self
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *CLUSTERS.lock().expect("no panic while the lock is held") -= 1;
        CLUSTER_ENDED.notify_one();
    }
}

/// The whole path: three daemons in three zones before back ends, a platform and a trainer.
pub struct Cluster {
    directory: TempDir,
    /// The platform's process.
    pub platform: Process,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// Engines with their addresses.
    pub engines: Vec<(Process, SocketAddr)>,
    /// Application server and scorer with their addresses.
    pub applications: Vec<(Process, SocketAddr)>,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    /// The trainer with its address, once started.
    pub trainer: Option<(Process, SocketAddr)>,
    /// Given back last, after every process has ended.
    _place: Place,
}

/// The program of the stand-ins.
pub fn emulator() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_heronbend-emulator"))
}

/// The daemon's program, which a workspace build puts beside the emulator's.
pub fn heronbend() -> PathBuf {
    emulator().with_file_name("heronbend")
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The arguments that a line of text states.
pub fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

impl Cluster {
    /// Starts everything but the trainer, and waits until all daemons are ready.
    pub fn start() -> Self {
        let place = Place::wait();
        let directory = TempDir::new().expect("a writable temporary folder");
        let path = directory.path();
        let platform_address = free_addresses(1)[0];
        let platform = Process::serve(
            path,
            "platform",
            &emulator(),
            &words(&format!("platform --listen {platform_address}")),
            platform_address,
        );
        let engines = free_addresses(2)
            .into_iter()
            .enumerate()
            .map(|(index, address)| {
                let name = format!("engine-{}", index + 1);
                let arguments = format!(
                    "engine --name {name} --pool bulletin --model flood-bulletin --version 1 \
                     --listen {address} --platform {platform_address} --zone {}",
                    ZONES[index]
                );
                (Process::serve(path, &name, &emulator(), &words(&arguments), address), address)
            })
            .collect();
        let applications = [("app", "gauge"), ("scorer", "scorer")]
            .into_iter()
            .map(|(kind, pool)| {
                let address = free_addresses(1)[0];
                let arguments = format!(
                    "{kind} --name {kind}-1 --pool {pool} --listen {address} \
                     --platform {platform_address} --zone {}",
                    ZONES[0]
                );
                (Process::serve(path, kind, &emulator(), &words(&arguments), address), address)
            })
            .collect();
        let daemons =
            (0..ZONES.len()).map(|index| start_daemon(path, index, platform_address)).collect();
        let cluster = Self {
            platform,
            platform_address,
            engines,
            applications,
            daemons,
            trainer: None,
            directory,
            _place: place,
        };
        cluster.apply_settings();
        cluster.wait_ready();
        cluster
    }

    /// Puts the gauge team's settings in force.
    fn apply_settings(&self) {
        let file = repository().join("examples/gauge/settings.toml");
        let file = file.display().to_string();
        wait_until("the settings are accepted", || {
            self.command(0, &["settings", "apply", &file]).0 == 0
        });
    }

    /// Runs the command line towards a daemon: exit code and output.
    pub fn command(&self, daemon: usize, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(heronbend())
            .args(arguments)
            .args(["--admin", &self.daemons[daemon].admin.to_string()])
            .output()
            .expect("the workspace is built");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }

    /// Waits until every daemon takes requests.
    pub fn wait_ready(&self) {
        for daemon in &self.daemons {
            wait_until(&format!("{} is ready", daemon.name), || daemon.is_ready());
        }
    }

    /// Starts the trainer.
    pub fn start_trainer(&mut self, first_step: u64) {
        let address = free_addresses(1)[0];
        let arguments = format!(
            "trainer --name bulletin --model flood-bulletin --token trainer-token --train-ms 100 \
             --daemons {} --platform {} --listen {address} --first-step {first_step}",
            self.daemon_list(),
            self.platform_address
        );
        let directory = self.directory.path();
        let process =
            Process::serve(directory, "trainer", &emulator(), &words(&arguments), address);
        self.trainer = Some((process, address));
    }

    /// The trainer's report.
    pub fn report(&self) -> Value {
        let (_, address) = self.trainer.as_ref().expect("the trainer was started");
        get_json(*address, "/report").unwrap_or_default()
    }

    /// Waits until the trainer has received this many more steps.
    pub fn wait_steps(&self, more: u64) {
        let goal = self.report()["steps"].as_u64().unwrap_or(0) + more;
        wait_until(&format!("the trainer has received {goal} steps"), || {
            self.report()["steps"].as_u64().unwrap_or(0) >= goal
        });
    }

    /// Starts load; with `faults` lost and unknown answers are no failure.
    pub fn start_load(&self, seconds: u64, faults: bool, seed: u64) -> Load {
        let path = self.directory.path().join(format!("verdict-{seed}.json"));
        let list = |addresses: Vec<SocketAddr>| {
            let texts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
            texts.join(",")
        };
        let trainer = match &self.trainer {
            Some((_, address)) => format!("--trainers {address}"),
            None => "--min-steps 0".to_owned(),
        };
        let arguments = format!(
            "load --daemons {} --apps {} --engines {} {trainer} --seconds {seconds} --rate 200 \
             --seed {seed} --json {} {}",
            self.daemon_list(),
            list(self.applications.iter().take(1).map(|(_, address)| *address).collect()),
            list(self.engines.iter().map(|(_, address)| *address).collect()),
            path.display(),
            if faults { "--faults" } else { "" },
        );
        let name = format!("load-{seed}");
        let process = Process::start(self.directory.path(), &name, &emulator(), &words(&arguments));
        Load { process, verdict: path }
    }

    /// Makes the platform fail, or work again.
    pub fn set_platform_fault(&self, fault: &str) {
        post(self.platform_address, "/control", fault);
    }

    /// Cuts daemons off from each other: `from` sends nothing to `to`.
    pub fn cut(&self, from: usize, to: &[usize]) {
        let names: Vec<&str> = to.iter().map(|index| self.daemons[*index].name.as_str()).collect();
        let faults = serde_json::json!({ "drop_to": names });
        post(self.daemons[from].admin, "/admin/failpoints", &faults.to_string());
    }

    fn daemon_list(&self) -> String {
        let addresses: Vec<_> = self.daemons.iter().map(|daemon| daemon.http.to_string()).collect();
        addresses.join(",")
    }

    /// Everything that was logged, for a failed test.
    pub fn print_logs(&self) {
        for daemon in &self.daemons {
            println!("== {}\n{}", daemon.name, daemon.process.log());
        }
        if let Some((process, _)) = &self.trainer {
            println!("== trainer\n{}", process.log());
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

fn start_daemon(directory: &Path, index: usize, platform: SocketAddr) -> Daemon {
    let addresses = free_addresses(3);
    let name = format!("gauge-{}", index + 1);
    let arguments = format!(
        "serve --node {name} --zone {} --region mauricie --platform {platform} --listen {} \
         --peer-listen {} --admin-listen {} --allow-failpoints",
        ZONES[index], addresses[0], addresses[1], addresses[2]
    );
    Daemon {
        process: Process::serve(directory, &name, &heronbend(), &words(&arguments), addresses[0]),
        name,
        http: addresses[0],
        admin: addresses[2],
    }
}

/// Load that is under way.
pub struct Load {
    process: Process,
    verdict: PathBuf,
}

impl Load {
    /// Waits for its end; the verdict, which must not name a broken promise.
    pub fn finish(mut self) -> Value {
        let status = self.process.child.wait().expect("the child can be waited for");
        let verdict = std::fs::read_to_string(&self.verdict).unwrap_or_default();
        println!("verdict={verdict}");
        assert!(status.success(), "{}", self.process.log());
        serde_json::from_str(&verdict).expect("the verdict is JSON")
    }
}
