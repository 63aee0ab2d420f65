package hall

import "time"

// Reason is the reason of a decision. Metrics count decisions by reason, and
// "wrenferry explain" shows it.
type Reason string

// The reasons of decisions about a hall, a worker, a job or a task.
const (
	ClaimedLeadership  Reason = "claimed-leadership"
	LostLeadership     Reason = "lost-leadership"
	ReleasedLeadership Reason = "released-leadership"
	LoadedState        Reason = "loaded-state"
	TenureOver         Reason = "tenure-over"
	CommitUncertain    Reason = "commit-answer-lost"
	CommitConflict     Reason = "commit-conflict"

	WorkerReached          Reason = "worker-reached"
	WorkerRegistered       Reason = "worker-incarnation-registered"
	WorkerRestarted        Reason = "worker-restarted"
	WorkerLost             Reason = "worker-lease-surely-over"
	WorkerQuarantined      Reason = "worker-fails-everything"
	WorkerQuarantineLifted Reason = "worker-succeeded-again"

	JobClaimed   Reason = "job-claimed"
	JobStolen    Reason = "job-pulled-from-another-hall"
	JobEnded     Reason = "job-ended"
	JobCancelled Reason = "job-cancelled-by-caller"

	TaskPlaced              Reason = "task-placed"
	TaskCommittedAhead      Reason = "task-committed-ahead"
	TaskMoved               Reason = "task-moved-to-where-room-is"
	TaskStarted             Reason = "task-start-sent"
	TaskRunning             Reason = "task-running"
	TaskFinished            Reason = "task-finished"
	TaskFailed              Reason = "task-failed"
	TaskAtFailureLimit      Reason = "task-failed-too-often"
	TaskEvicting            Reason = "task-asked-to-checkpoint"
	TaskEvicted             Reason = "task-stopped-with-checkpoint"
	TaskThrottled           Reason = "task-throttled-for-service"
	TaskRestored            Reason = "task-throttle-lifted"
	TaskRequeued            Reason = "task-lost-with-worker"
	TaskOutcomeUnknown      Reason = "task-may-have-run"
	TaskNoRoom              Reason = "no-worker-has-room"
	TaskOverQuota           Reason = "team-at-its-quota"
	TaskNeverFits           Reason = "larger-than-any-worker"
	TaskKindFailsEverywhere Reason = "kind-fails-everywhere"
	TaskCancelled           Reason = "task-cancelled"
	TaskEvictedForUrgent    Reason = "evicted-for-urgent-work"
	StrayAttemptStopped     Reason = "stray-attempt-stopped"
)

// Fact is a recorded decision about an object: a hall's name, or a kind and a
// name, such as "task/ID". Detail holds the evidence.
type Fact struct {
	At     time.Time
	Object string
	Reason Reason
	Detail string
}
