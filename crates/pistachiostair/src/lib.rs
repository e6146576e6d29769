//! Scheduler library for multi-accelerator jobs under client account guarantees.
//!
//! Decisions are state machines without I/O, fed with events and a passed-in time:
//!
//! ```
//! use pistachiostair::{Change, Decision, JobId, JobSpec, MemberState, Millis, Planner, WorkerInfo};
//!
//! let mut planner = Planner::new();
//! let info: WorkerInfo = serde_json::from_str(
//!     r#"{"name":"w1","region":"fi","domain":"helsinki","rack":"r1","slots":8,"accelerators":8,
//!         "millicores":30000,"memory":65536}"#,
//! )?;
//! planner.apply(Millis(0), Change::Worker { info, state: MemberState::Live });
//! let spec: JobSpec = serde_json::from_str(r#"{"account":"court","shape":"1x4"}"#)?;
//! planner.apply(Millis(1), Change::Queued { job: JobId(1), spec, served: Millis(0) });
//! let decisions = planner.plan(Millis(2), 10);
//! assert!(matches!(&decisions[..], [Decision::Place { job: JobId(1), .. }]));
//! # Ok::<(), serde_json::Error>(())
//! ```

mod macros;

mod accounts;
mod active;
mod answers;
mod api;
mod api_jobs;
mod api_objects;
mod api_watch;
mod appender;
mod apply_decision;
mod best_fit;
mod bookkeeping;
mod calls;
mod capacity;
mod claim_order;
mod client_memory;
mod clock;
mod commands;
mod commits;
mod compact;
mod config;
mod config_check;
mod daemon;
mod dispatch;
mod edge;
mod ejection;
mod election;
mod error;
mod explain;
mod failures;
mod fair;
mod finish;
mod followers;
mod gang;
mod gateway;
mod guarantee;
mod headroom;
mod http_client;
mod http_lines;
mod http_progress;
mod http_server;
mod ids;
mod interface;
mod journal;
mod kernel;
mod leader_probe;
mod lease;
mod limits;
mod links;
mod listed;
mod logging;
mod members;
mod membership;
mod memory_budget;
mod message;
mod metrics;
mod node_daemon;
mod order_slots;
mod outlier;
mod peer_connect;
mod peer_frame;
mod peer_link;
mod peer_tls;
mod peers;
mod pki;
mod placement;
mod planner;
mod policy;
mod rack;
mod reclaim;
mod reconcile;
mod rendezvous;
mod request_body;
mod request_outcomes;
mod resource;
mod retry;
mod route;
mod rows;
mod rules_watch;
mod scheduler;
mod scheduler_actor;
mod scheduler_service;
mod scheduler_updates;
mod search;
mod serve;
mod settings;
mod short_member;
mod snapshot;
mod starvation;
mod state;
mod steps;
mod steps_active;
mod steps_io;
mod storage;
mod store;
mod submit;
mod supervisor;
mod takeover;
mod topology;
mod traffic;
mod validate;
mod views;
mod worker;

pub use active::Retention;
pub use appender::{AppendAction, AppendEvent, Appender};
pub use capacity::Capacity;
pub use client_memory::{ClientMemory, client_connections};
pub use clock::{Clock, Millis};
pub use config_check::{ConfigFinding, ConfigObjects, Severity, check_objects, check_rules, describe_changes};
pub use daemon::{Addresses, Daemon};
pub use edge::{
    BoxFuture, Check, Commit, Connections, HostList, Hosts, Objects, Row, RulesSource, RulesUpdate, Table, Transaction,
    Vm, VmList, VmRole, Write,
};
pub use ejection::Ejector;
pub use election::{Election, ElectionAction, ElectionEvent, ElectionTimes};
pub use error::{Error, ErrorKind, Ran, Result};
pub use followers::Followers;
pub use http_client::{HttpAnswer, HttpCall, HttpClient, IdleLimits};
pub use http_lines::HttpLines;
pub use http_server::{
    HttpBody, HttpHandler, HttpLimits, HttpRefusal, HttpReply, HttpRequest, HttpServer, decode_percent, encode_percent,
    parse_query,
};
pub use ids::{
    AccountName, Attempt, DaemonName, DomainName, GuaranteeName, Incarnation, JobId, JobName, RackName, RegionName,
    Revision, Seq, TaskId, Term, WorkerName,
};
pub use interface::{Configuration, Explanation, Listing, WatchLine};
pub use journal::{Batch, Part, Record, journal_key, revision, term_key};
pub use kernel::{Kernel, Service, Stop};
pub use lease::{Lease, lease_key};
pub use limits::{AccountLimits, Admission, MAX_ACCOUNTS, Permit, Refusal, RefusalReason};
pub use logging::{Component, LogFormat, LogLevel, component_logger, log_decision, logger, stdout_logger};
pub use membership::{DETECTION_TIME, HEARTBEAT_INTERVAL, MemberAction, MemberEvent, Membership};
pub use message::{
    Call, Envelope, Failure, Heartbeat, Leader, MAX_MESSAGE, MESSAGE_VERSION, Renewal, Request, Response, RulesAge,
    View,
};
pub use metrics::{ClientCounts, Metrics, ProcessUsage, process_usage};
pub use node_daemon::{Admitted, Denial, Edges, StepDaemon, StepSettings};
pub use peer_frame::decode_message;
pub use peer_tls::PeerTls;
pub use peers::{LinkSettings, PeerHandler, PeerReport, Peers};
pub use planner::{AttemptEnd, Change, Decision, Planner, PlannerStats};
pub use policy::{MAX_DOCUMENT_BYTES, PolicySkew, PolicyState};
pub use rendezvous::{owned_workers, worker_owner};
pub use request_outcomes::{RequestOutcomes, WorkerRequest};
pub use resource::{
    Account, AccountSpec, Condition, Guarantee, GuaranteeSpec, Job, JobPhase, JobSpec, JobStatus, Limits, Member,
    MemberState, Metadata, Policy, Scheduling, Shape, Size, Urgency, Worker, WorkerInfo,
};
pub use retry::{Backoff, Breaker, BreakerPermit, BreakerState, RetryBudget};
pub use scheduler::{Action, Event, LogLine, Scheduler, Token};
pub use settings::{LimitSettings, LogSettings, PeerSettings, PlatformSettings, Settings};
pub use snapshot::{SnapshotLimits, SnapshotRef, SnapshotRow, snapshot_key};
pub use state::{JobOutcome, JobState, Placement, RegionState};
pub use steps::{
    AccountRule, Crash, Demand, EvacuationSource, EvacuationUpdate, Evacuations, HoldOrder, HoldReply, HostInfo,
    HostUpdate, JobEntry, JobKey, LossVerdict, LostRun, OrderReply, PlacedRun, Queue, QueueName, QueueSettings,
    Recurrence, Rules, RunEnd, RunOutcome, RunReport, ServiceName, ServiceRule, StartOrder, StartRecord, Step,
    StepAnswer, StepCall, StepEntry, StepJob, StepJobPhase, StepJobTable, StepLimits, StepLoad, StepRecord,
    StepScheduler, StepsAction, StepsEvent, StepsLog, Target, TaskEntry, TaskKey,
};
pub use store::Store;
pub use traffic::Traffic;
pub use validate::{
    Finding, check_account, check_guarantee, check_job, check_job_metadata, check_metadata, check_policy,
    join_findings, key_fault, locate_fault, name_fault, parse_json, parse_policy, parse_yaml,
};
pub use worker::{BatchReply, CLOCK_HEADER, Changes, Command, CommandBatch, CommandResult, Start, TaskState, TaskView};
