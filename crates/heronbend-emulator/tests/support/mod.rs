//! Starts real processes for tests: the platform, backends, daemons, a trainer and the load generator.
//!
//! Every process is a child of the test, listens on loopback ports, and is killed when dropped.
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

/// Zones of the daemons, by daemon index.
pub const ZONES: [&str; 3] = ["shawinigan", "la-tuque", "trois-rivieres"];
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const WAIT_POLL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition and panics when it does not hold within [`WAIT_LIMIT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(WAIT_POLL);
    }
}

/// Sends one request; `None` without a complete response.
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
    let response = client.fetch(address, request, REQUEST_TIMEOUT, 1 << 26);
    let (status, bytes) = smol::block_on(response).ok()?;
    Some((status, String::from_utf8(bytes).expect("the response is UTF-8")))
}

/// Fetches a JSON document; `None` without a successful response.
pub fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let (status, body) = request(Method::Get, address, path, &[], "")?;
    status.is_success().then(|| serde_json::from_str(&body).expect("the response is JSON"))
}

/// Posts a JSON document and expects success.
pub fn post(address: SocketAddr, path: &str, body: &str) {
    let response = request(Method::Post, address, path, &[], body);
    let status = response.as_ref().map(|(status, _)| *status);
    assert!(status.is_some_and(|status| status.is_success()), "{path}: {response:?}");
}

/// Ports already allocated by this test program.
static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns currently unused loopback addresses, each at most once per test program.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut allocated = ALLOCATED_PORTS.lock().expect("no panic while the lock is held");
    // Keeps the listeners open so that the system does not return the same port twice.
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        if allocated.insert(address.port()) {
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
    /// Starts found in the log before the current run.
    starts_before_restart: usize,
}

impl Process {
    /// Starts a server process and waits until it listens at `address`.
    pub fn serve(
        directory: &Path,
        name: &str,
        program: &Path,
        arguments: &[String],
        address: SocketAddr,
    ) -> Self {
        let mut process = Self::start(directory, name, program, arguments);
        process.address = Some(address);
        process.wait_until_listening();
        process
    }

    /// Waits until the process listens, and starts it again while it exits because its port is taken.
    ///
    /// A successful connection is not enough, since another process may hold the port: the process
    /// logs `event=started` only after it has bound the port.
    fn wait_until_listening(&mut self) {
        let Some(address) = self.address else {
            return;
        };
        let name = self.log.display().to_string();
        wait_until(&format!("{name} reports a listening process"), || {
            if self.has_exited() {
                self.child = spawn(&self.command, &self.log);
            }
            self.start_count() > self.starts_before_restart && TcpStream::connect(address).is_ok()
        });
    }

    /// Number of starts found in the log.
    fn start_count(&self) -> usize {
        self.log().matches("event=started").count()
    }

    fn start(directory: &Path, name: &str, program: &Path, arguments: &[String]) -> Self {
        let log = directory.join(format!("{name}.log"));
        let mut command = vec![program.display().to_string()];
        command.extend_from_slice(arguments);
        let child = spawn(&command, &log);
        Self { child, command, log, address: None, starts_before_restart: 0 }
    }

    fn signal(&self, signal: Signal) {
        let pid =
            Pid::from_raw(i32::try_from(self.child.id()).expect("the process identifier fits"));
        kill(pid, signal).expect("the child is running");
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the child is running");
        self.child.wait().expect("the child can be waited for");
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub fn terminate(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.child.wait().expect("the child can be waited for")
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts the process again after it has exited.
    pub fn restart(&mut self) {
        self.starts_before_restart = self.start_count();
        self.child = spawn(&self.command, &self.log);
        self.wait_until_listening();
    }

    /// Everything the process has logged.
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

/// A daemon process and its addresses.
pub struct Daemon {
    pub process: Process,
    /// Node name.
    pub name: String,
    /// Address for callers.
    pub http: SocketAddr,
    /// Admin address.
    pub admin: SocketAddr,
}

impl Daemon {
    /// Whether the daemon reports that it is ready.
    pub fn is_ready(&self) -> bool {
        request(Method::Get, self.admin, "/readyz", &[], "")
            .is_some_and(|(status, _)| status.is_success())
    }

    /// Revision of the daemon's settings, or 0 if it does not respond.
    pub fn revision(&self) -> u64 {
        let status = get_json(self.admin, "/admin/status");
        status.and_then(|status| status["settings_revision"].as_u64()).unwrap_or(0)
    }
}

/// Maximum number of concurrent clusters per test program.
const MAX_CLUSTERS: usize = 4;
static RUNNING_CLUSTERS: Mutex<usize> = Mutex::new(0);
static CLUSTER_STOPPED: Condvar = Condvar::new();

/// Permit to run one cluster, released on drop.
struct ClusterPermit;

impl ClusterPermit {
    fn wait() -> Self {
        let running = RUNNING_CLUSTERS.lock().expect("no panic while the lock is held");
        let is_full = |running: &mut usize| *running >= MAX_CLUSTERS;
        let running = CLUSTER_STOPPED.wait_while(running, is_full);
        *running.expect("no panic while the lock is held") += 1;
        Self
    }
}

impl Drop for ClusterPermit {
    fn drop(&mut self) {
        *RUNNING_CLUSTERS.lock().expect("no panic while the lock is held") -= 1;
        CLUSTER_STOPPED.notify_one();
    }
}

/// Three daemons in three zones, with backends, a platform and an optional trainer.
pub struct Cluster {
    directory: TempDir,
    /// Platform process.
    pub platform: Process,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// Engines with their addresses.
    pub engines: Vec<(Process, SocketAddr)>,
    /// The application server and the scorer, with their addresses.
    pub applications: Vec<(Process, SocketAddr)>,
    /// Daemons, in the order of [`ZONES`].
    pub daemons: Vec<Daemon>,
    /// The trainer and its address, once started.
    pub trainer: Option<(Process, SocketAddr)>,
    /// Last field, so that it is released after every process has been killed.
    _permit: ClusterPermit,
}

/// Path of the emulator binary.
pub fn emulator_path() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_heronbend-emulator"))
}

/// Path of the daemon binary, which a workspace build puts next to the emulator's.
pub fn heronbend_path() -> PathBuf {
    emulator_path().with_file_name("heronbend")
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Splits a command line at whitespace.
pub fn split_arguments(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

impl Cluster {
    /// Starts all processes except the trainer and waits until every daemon is ready.
    pub fn start() -> Self {
        let permit = ClusterPermit::wait();
        let directory = TempDir::new().expect("a writable temporary folder");
        let path = directory.path();
        let platform_address = free_addresses(1)[0];
        let platform = Process::serve(
            path,
            "platform",
            &emulator_path(),
            &split_arguments(&format!("platform --listen {platform_address}")),
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
                (
                    Process::serve(
                        path,
                        &name,
                        &emulator_path(),
                        &split_arguments(&arguments),
                        address,
                    ),
                    address,
                )
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
                (
                    Process::serve(
                        path,
                        kind,
                        &emulator_path(),
                        &split_arguments(&arguments),
                        address,
                    ),
                    address,
                )
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
            _permit: permit,
        };
        cluster.apply_settings();
        cluster.wait_ready();
        cluster
    }

    /// Applies the example settings.
    fn apply_settings(&self) {
        let file = repository().join("examples/gauge/settings.toml");
        let file = file.display().to_string();
        wait_until("the settings are accepted", || {
            self.command(0, &["settings", "apply", &file]).0 == 0
        });
    }

    /// Runs `heronbend` against a daemon; returns the exit code and the output.
    pub fn command(&self, daemon: usize, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(heronbend_path())
            .args(arguments)
            .args(["--admin", &self.daemons[daemon].admin.to_string()])
            .output()
            .expect("the workspace is built");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }

    /// Waits until every daemon is ready.
    pub fn wait_ready(&self) {
        for daemon in &self.daemons {
            wait_until(&format!("{} is ready", daemon.name), || daemon.is_ready());
        }
    }

    /// Starts the trainer at a step.
    pub fn start_trainer(&mut self, first_step: u64) {
        let address = free_addresses(1)[0];
        let arguments = format!(
            "trainer --name bulletin --model flood-bulletin --token trainer-token --train-ms 100 \
             --daemons {} --platform {} --listen {address} --first-step {first_step}",
            self.daemon_list(),
            self.platform_address
        );
        let directory = self.directory.path();
        let process = Process::serve(
            directory,
            "trainer",
            &emulator_path(),
            &split_arguments(&arguments),
            address,
        );
        self.trainer = Some((process, address));
    }

    /// Fetches the trainer's report.
    pub fn report(&self) -> Value {
        let (_, address) = self.trainer.as_ref().expect("the trainer was started");
        get_json(*address, "/report").unwrap_or_default()
    }

    /// Waits until the trainer has received `more` further steps.
    pub fn wait_steps(&self, more: u64) {
        let goal = self.report()["steps"].as_u64().unwrap_or(0) + more;
        wait_until(&format!("the trainer has received {goal} steps"), || {
            self.report()["steps"].as_u64().unwrap_or(0) >= goal
        });
    }

    /// Starts the load generator; with `faults`, lost responses and unknown outcomes are tolerated.
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
        let process = Process::start(
            self.directory.path(),
            &name,
            &emulator_path(),
            &split_arguments(&arguments),
        );
        Load { process, report_path: path }
    }

    /// Sets the platform's fault, given as JSON.
    pub fn set_platform_fault(&self, fault: &str) {
        post(self.platform_address, "/control", fault);
    }

    /// Drops the datagrams that daemon `from` sends to the daemons `to`; an empty list ends the fault.
    pub fn drop_datagrams(&self, from: usize, to: &[usize]) {
        let names: Vec<&str> = to.iter().map(|index| self.daemons[*index].name.as_str()).collect();
        let faults = serde_json::json!({ "drop_to": names });
        post(self.daemons[from].admin, "/admin/failpoints", &faults.to_string());
    }

    fn daemon_list(&self) -> String {
        let addresses: Vec<_> = self.daemons.iter().map(|daemon| daemon.http.to_string()).collect();
        addresses.join(",")
    }

    /// Prints the logs of the daemons and the trainer.
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
        process: Process::serve(
            directory,
            &name,
            &heronbend_path(),
            &split_arguments(&arguments),
            addresses[0],
        ),
        name,
        http: addresses[0],
        admin: addresses[2],
    }
}

/// A running load generator.
pub struct Load {
    process: Process,
    report_path: PathBuf,
}

impl Load {
    /// Waits for the load generator to exit and returns its report; panics if it reports a violation.
    pub fn finish(mut self) -> Value {
        let status = self.process.child.wait().expect("the child can be waited for");
        let report = std::fs::read_to_string(&self.report_path).unwrap_or_default();
        println!("verdict={report}");
        assert!(status.success(), "{}", self.process.log());
        serde_json::from_str(&report).expect("the report is JSON")
    }
}
