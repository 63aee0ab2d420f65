package cli

// groupHelp is the short help of each group of verbs.
var groupHelp = map[string]string{
	"settings": "The tree of settings: check, show, compare, edit",
	"service":  "Start, drain, stop and list services",
	"fleet":    "See a running fleet that schedules jobs on a table service",
	"lab":      "Ask what a policy is worth, in virtual time",
	"job":      "Start, drain, stop, show and list jobs",
}

// verbs is the table of verbs, in the order in which help lists them.
var verbs = []verb{
	statusVerb,
	hostsVerb,
	explainVerb,
	logsVerb,
	delaysVerb,
	eventsVerb,
	auditVerb,
	settingsCheck,
	settingsShow,
	settingsDiff,
	settingsEdit,
	settingsHistory,
	settingsKeys,
	serviceList,
	serviceStart,
	serviceDrain,
	serviceStop,
	fleetStatus,
	fleetSuspects,
	fleetClear,
	labRun,
	labCompare,
	labAblate,
	labMechanisms,
	jobList,
	jobShow,
	jobStart,
	jobDrain,
	jobStop,
}
