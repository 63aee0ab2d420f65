package cell

// NoteKind is a kind of note: the name of a decision, or of a change in what the leader knows, in the log. Notes lists
// all kinds; docs/EVENTS.md is generated from that table.
type NoteKind string

// The kinds of notes.
const (
	NoteLed             NoteKind = "cell-led"
	NoteDeposed         NoteKind = "cell-deposed"
	NoteLoaded          NoteKind = "cell-loaded"
	NotePredecessorOver NoteKind = "cell-predecessor-over"
	NoteMembersAwaited  NoteKind = "members-awaited"
	NoteInventoryOmits  NoteKind = "inventory-incomplete"
	NoteSettled         NoteKind = "cell-settled"
	NoteReleased        NoteKind = "cell-released"
	NoteManifest        NoteKind = "manifest-in-force"
	NoteEvacuated       NoteKind = "cell-evacuated"
	NoteReopened        NoteKind = "cell-reopened"
	NoteJobQueued       NoteKind = "job-queued"
	NoteJobEnded        NoteKind = "job-ended"
	NoteJobRecorded     NoteKind = "job-recorded"
	NoteRecordFailed    NoteKind = "record-failed"
	NoteWaits           NoteKind = "task-waits"
	NoteLastingWaits    NoteKind = "lasting-task-waits"
	NoteLastingPlaces   NoteKind = "lasting-task-places"
	NoteLastingStopped  NoteKind = "lasting-task-stopped"
	NoteReserveChanged  NoteKind = "reserve-changed"
	NoteStart           NoteKind = "task-start"
	NoteStartRefused    NoteKind = "task-start-refused"
	NoteStartUnsure     NoteKind = "task-start-unsure"
	NoteOrdersHeld      NoteKind = "orders-held"
	NoteDelays          NoteKind = "leader-delays"
	NoteStarts          NoteKind = "start-orders"
	NoteAdopted         NoteKind = "task-adopted"
	NoteStop            NoteKind = "task-stop"
	NoteEnd             NoteKind = "task-end"
	NoteLost            NoteKind = "task-lost"
	NoteEndPassed       NoteKind = "task-end-passed-over"
	NotePace            NoteKind = "task-pace"
	NoteAdvice          NoteKind = "step-advised"
	NoteLent            NoteKind = "task-lent"
	NoteGivenBack       NoteKind = "task-given-back"
	NoteTakenBack       NoteKind = "task-taken-back"
	NotePress           NoteKind = "press-learned"
	NoteWorkerNew       NoteKind = "worker-new"
	NoteWorkerLife      NoteKind = "worker-life"
	NoteWorkerRoom      NoteKind = "worker-room"
	NoteWorkerGone      NoteKind = "worker-gone"
	NoteWorkerDropped   NoteKind = "worker-dropped"
	NoteSuspected       NoteKind = "task-suspected"
	NoteCleared         NoteKind = "task-cleared"
	NoteLostStart       NoteKind = "recorded-start-unlisted"
	NoteWorkerCrashed   NoteKind = "worker-crashed"
	NoteWorkerLeaves    NoteKind = "worker-leaving"
	NoteWorkerSilent    NoteKind = "worker-silent"
	NoteWorkerHeard     NoteKind = "worker-heard"
	NoteWorkerAside     NoteKind = "worker-aside"
	NoteWorkerBack      NoteKind = "worker-back"
	NoteRefusalBegan    NoteKind = "refusal-began"
	NoteRefusalEnded    NoteKind = "refusal-ended"
	NoteUnreadable      NoteKind = "unreadable"
)

// NoteHelp documents one kind of note.
type NoteHelp struct {
	What NoteKind
	Says string
}

// Notes documents every kind of note.
var Notes = []NoteHelp{
	{NoteLed, "this process leads the cell from now on; detail: epoch"},
	{NoteDeposed, "this process no longer leads the cell; detail: reason"},
	{NoteLoaded, "the cell's jobs were read from the table; detail: numbers of jobs, cancels and members that must answer"},
	{NotePredecessorOver, "an earlier leader has ended and grants no more leases; detail: its incarnation; age_ms: how much longer the cell may wait for members that do not answer"},
	{NoteMembersAwaited, "the cell has not settled, as earlier leaders may have started tasks at members that have not answered; repeated each second; detail: how many members, what is known of each and how much longer its leases may last, earlier leaders that are not known to have ended; age_ms: time since this process leads; left_ms: the longest remaining wait"},
	{NoteInventoryOmits, "a list of the inventory was not used, as it does not name a worker that has answered since; detail: what it names; age_ms: its age"},
	{NoteSettled, "the runs of earlier leaders are known or have surely ended, except for tasks that the membership names at members that have not answered; detail: numbers of tasks that no worker lists, members that have not answered, tasks that may run there"},
	{NoteReleased, "this process hands the cell over"},
	{NoteManifest, "a newer manifest is in force; detail: version"},
	{NoteEvacuated, "operators evacuate the cell's hall: its leader starts nothing more there; detail: units with waiting tasks, running tasks"},
	{NoteReopened, "the evacuation of the cell's hall is withdrawn, and its workers get tasks again; detail as above"},
	{NoteJobQueued, "the cell received a job; detail: queue, tasks, steps; age_ms: time since acceptance"},
	{NoteJobEnded, "a job's last phase was decided; detail: phase, reason; age_ms: time since acceptance"},
	{NoteJobRecorded, "a job's last phase is recorded in the table, and is reported to callers from now on; detail: phase"},
	{NoteRecordFailed, "progress could not be written; the write is retried; detail: error"},
	{NoteWaits, "a task has waited long for a worker; detail: how many usable workers lack what, what its job can still earn, how many tasks of the job run here, how many tasks of its step could start in each other cell; age_ms: the wait"},
	{NoteLastingWaits, "a lasting task has no run; repeated each second; age_ms: time since its last run; reason; fits_here, fits_elsewhere: how often it fits into free capacity of this cell's workers and of other cells; worker, left_ms, kept_for: the worker that it waits for, for how much longer at most, and for which task's isolated run that worker is kept"},
	{NoteLastingPlaces, "the lasting task of the cell that is longest without a run; repeated each second; age_ms: time since its last run; detail: how many lasting tasks are overdue; the places on which it fits: free, kept for urgent tasks, freed for them by a stop, at workers closed for isolated runs, at workers not usable, further ones behind start orders that have no answer yet, workers reserved for lasting tasks; how many starts since the last such line took a worker on which that line's task fitted: urgent or plain tasks of jobs on time, late ones, fillers, lasting tasks; how many urgent tasks wait"},
	{NoteLastingStopped, "a lasting task was ordered to stop for urgent tasks that wait; detail: the gaps that become free, for which queue, the gaps missing; age_ms: the wait of the urgent task that waited longest"},
	{NoteReserveChanged, "the capacity that is kept for urgent tasks changed; repeated once a second at most; detail: the service, gaps wanted, gaps free, the size of a gap"},
	{NoteStart, "a start was ordered; detail: time since the job was accepted, free millicores, checkpoint"},
	{NoteStartRefused, "the worker refused the start; detail: reason"},
	{NoteStartUnsure, "the start got no answer, so the task may run; detail: until when the worker may carry the order out, error, for how much of the wait this process had no processor"},
	{NoteOrdersHeld, "start orders are held back: tasks wait for the link, not for capacity; repeated once a second at most; detail: bytes in flight, the window, the time that answers take"},
	{NoteDelays, "what this leader did late in the time age_ms, each with its number, mean and longest delay: polls after they were due, ends learned from a poll that was sent so long after the worker's last answer, records of ends and first starts of next steps after the end was learned; then for how long start orders were held back and polls yielded to them, and the number of decisions"},
	{NoteStarts, "the start orders of the time age_ms, with their bytes; how many tasks wait, how many of them have a place, how many wait for the record of their start; for how long the window and pauses between placement passes held orders back; the number, mean and longest time of answers, without and then with only the time for which this process had no processor; bytes in flight, the window"},
	{NoteAdopted, "a run that an earlier leader started was taken over"},
	{NoteStop, "a run was ordered to stop; detail: reason"},
	{NoteEnd, "a run ended; detail: how, progress in percent"},
	{NoteLost, "a run is presumed over without a report of its end; detail: reason"},
	{NoteEndPassed, "an end was ignored because its number is not new, though its run still counts as running; detail: how the run ended, its number, the newest number before"},
	{NotePace, "a filler's share was changed; detail: share, the worst latency level of a serving task beside it (1 - target/tail)"},
	{NoteAdvice, "the advising service answered which workers may run a step; detail: how many, or the error"},
	{NoteLent, "tasks that find no capacity here, or would harm their neighbours, were delegated to another cell; detail: the target cell, its free capacity, the wait"},
	{NoteGivenBack, "a delegated task finds no capacity here and was returned to its home cell; detail: the home cell, a cell with capacity, the wait"},
	{NoteTakenBack, "a target cell returned delegated tasks or reported them done or failed; detail: how many, the target cell, the failure"},
	{NotePress, "the learned interference of fillers with a serving image; detail: the serving image's latency level without fillers, and each filler's coefficient"},
	{NoteWorkerNew, "a worker became known; detail: service, address, capacity, labels, start time"},
	{NoteWorkerLife, "another incarnation of a worker answered than the known one; detail: the start times of both, their clocks"},
	{NoteWorkerRoom, "a worker reported another capacity than before; detail: the capacity, the previous one, what is free"},
	{NoteWorkerGone, "a worker's incarnation has ended; detail: reason"},
	{NoteWorkerDropped, "a worker takes no new work and holds nothing, so the membership no longer names it and a successor does not wait for it"},
	{NoteWorkerCrashed, "a worker with runs crashed, or does not answer; detail: whether it is only silent, how many workers fell silent at that moment, its runs and their least ages"},
	{NoteSuspected, "a task is suspected of crashing workers; detail: level, number of crashes, the evidence of this one"},
	{NoteCleared, "a task is no longer suspected of crashing workers; detail: reason"},
	{NoteLostStart, "a predecessor recorded a start of a task, and no worker lists the run; detail: what is known of its worker"},
	{NoteWorkerLeaves, "a worker leaves and takes no new work; detail: time left"},
	{NoteWorkerSilent, "a worker does not answer, and its lease runs out; detail: error, for how much of the wait this process had no processor; age_ms: time since its last answer"},
	{NoteWorkerHeard, "a silent worker answers; age_ms: how long it was silent"},
	{NoteWorkerAside, "a worker is in quarantine and gets no work for a while; detail: reason"},
	{NoteWorkerBack, "a worker's quarantine has ended; detail: reason"},
	{NoteRefusalBegan, "new jobs of a queue would surely come too late in this cell, so hosts may refuse them; detail: queue, size, forecast wait, how many recent jobs with such a forecast were worthless"},
	{NoteRefusalEnded, "new jobs of a queue may come in time in this cell again; detail as above; age_ms: how long that was not so"},
	{NoteUnreadable, "a message or row could not be used; detail: which"},
}
