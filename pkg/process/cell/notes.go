package cell

// What names a kind of decision or change of belief in the log. The table
// below is the one list of them; docs/EVENTS.md is made from it.
type What string

// The kinds of notes.
const (
	NoteLed             What = "cell-led"
	NoteDeposed         What = "cell-deposed"
	NoteLoaded          What = "cell-loaded"
	NotePredecessorOver What = "cell-predecessor-over"
	NoteSettled         What = "cell-settled"
	NoteReleased        What = "cell-released"
	NoteManifest        What = "manifest-in-force"
	NoteJobQueued       What = "job-queued"
	NoteJobEnded        What = "job-ended"
	NoteJobRecorded     What = "job-recorded"
	NoteRecordFailed    What = "record-failed"
	NoteWaits           What = "task-waits"
	NoteLastingWaits    What = "lasting-task-waits"
	NoteStart           What = "task-start"
	NoteStartRefused    What = "task-start-refused"
	NoteStartUnsure     What = "task-start-unsure"
	NoteOrdersHeld      What = "orders-held"
	NoteAdopted         What = "task-adopted"
	NoteStop            What = "task-stop"
	NoteEnd             What = "task-end"
	NoteLost            What = "task-lost"
	NoteEndPassed       What = "task-end-passed-over"
	NotePace            What = "task-pace"
	NoteAdvice          What = "step-advised"
	NoteLent            What = "task-lent"
	NoteGivenBack       What = "task-given-back"
	NoteTakenBack       What = "task-taken-back"
	NotePress           What = "press-learned"
	NoteWorkerNew       What = "worker-new"
	NoteWorkerLife      What = "worker-life"
	NoteWorkerRoom      What = "worker-room"
	NoteWorkerGone      What = "worker-gone"
	NoteWorkerDropped   What = "worker-dropped"
	NoteSuspected       What = "task-suspected"
	NoteCleared         What = "task-cleared"
	NoteWorkerCrashed   What = "worker-crashed"
	NoteWorkerLeaves    What = "worker-leaving"
	NoteWorkerSilent    What = "worker-silent"
	NoteWorkerHeard     What = "worker-heard"
	NoteWorkerAside     What = "worker-aside"
	NoteWorkerBack      What = "worker-back"
	NoteUnreadable      What = "unreadable"
)

// NoteHelp is one row of the table of notes.
type NoteHelp struct {
	What What
	Says string
}

// Notes lists every kind of note and what it says.
var Notes = []NoteHelp{
	{NoteLed, "this process leads a cell from now on; detail: epoch"},
	{NoteDeposed, "this process no longer leads the cell; detail: why"},
	{NoteLoaded, "the cell's jobs were read from the table; detail: how many"},
	{NotePredecessorOver, "an earlier leader grants nothing more: what it granted ends with a lease; detail: which incarnation; age_ms: how much longer the cell may have to wait for workers that are not heard"},
	{NoteSettled, "what earlier leaders started is known or surely over, but for tasks that the membership names at workers that are not heard; detail: how many tasks were found nowhere, workers not heard, tasks named"},
	{NoteReleased, "the cell is given up on purpose"},
	{NoteManifest, "a newer manifest is in force; detail: version"},
	{NoteJobQueued, "a job came to the cell; detail: steps, tasks"},
	{NoteJobEnded, "a job's last state was decided; detail: state, reason, time since acceptance"},
	{NoteJobRecorded, "the table holds a job's last state: callers are told from now on"},
	{NoteRecordFailed, "progress could not be written, and is tried again"},
	{NoteWaits, "a task that could start finds no place for long; detail: what each usable worker lacks, the wait"},
	{NoteLastingWaits, "a lasting task has no run, told each second; age_ms: since its last run; reason; fits_here, fits_elsewhere: how often it fits into free capacity of this cell's workers and of other cells"},
	{NoteStart, "a task is ordered to start; detail: wait, room left, checkpoint"},
	{NoteStartRefused, "the worker refused the start; detail: why"},
	{NoteStartUnsure, "the start got no answer: it may run"},
	{NoteOrdersHeld, "orders to start are held back, once a second at most: tasks wait for the link, not for room; detail: bytes on their way, the window, how long answers take"},
	{NoteAdopted, "a run of an earlier leader goes on"},
	{NoteStop, "a run is ordered to stop; detail: why"},
	{NoteEnd, "a run ended; detail: how, percent"},
	{NoteLost, "a run is surely over without its end having been seen; detail: why"},
	{NoteEndPassed, "a worker lists an end with a number that was taken in before, though its run is still taken to be there; detail: how it ended, both numbers"},
	{NotePace, "a filler's share of work is changed; detail: share, the tail that decided"},
	{NoteAdvice, "the advising service said which workers may run a step; detail: how many, or why not"},
	{NoteLent, "tasks without room, or whose neighbours would suffer, are left to another cell; detail: which, its room, the wait"},
	{NoteGivenBack, "a task that another cell lent to this one finds no room and is left to it again; detail: where room is, the wait"},
	{NoteTakenBack, "another cell gives back or reports on tasks that it was lent; detail: how many, which cell, a failure"},
	{NotePress, "which fillers press on which serving images, as now believed; detail: serving image alone, and each filler's coefficient"},
	{NoteWorkerNew, "a worker came to be known"},
	{NoteWorkerLife, "another life of a worker answers than the one that is known; detail: when each began, and their clocks"},
	{NoteWorkerRoom, "a worker says otherwise of its room than before; detail: the room, the one before, what is left"},
	{NoteWorkerGone, "a worker's life is over; detail: why"},
	{NoteWorkerDropped, "a worker takes no new work and holds nothing, so the cell's membership no longer names it: a successor does not wait for it"},
	{NoteWorkerCrashed, "a worker's life ended by itself with runs there, or it stopped answering; detail: whether it is only silent, how many others fell silent in that moment, the runs and how long each had run at least"},
	{NoteSuspected, "a task is suspected of crashing workers; detail: how much, after how many crashes, what this one says"},
	{NoteCleared, "a task is no longer suspected; detail: why"},
	{NoteWorkerLeaves, "a worker takes no new work; detail: time left"},
	{NoteWorkerSilent, "a worker does not answer; its lease runs out"},
	{NoteWorkerHeard, "a worker answers (again)"},
	{NoteWorkerAside, "a worker gets no work for a while; detail: why"},
	{NoteWorkerBack, "a worker that was put aside works again"},
	{NoteUnreadable, "a message or row could not be used; detail: which"},
}
