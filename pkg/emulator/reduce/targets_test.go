package reduce

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// Guards against candidates that are invalid, and so never played, because they fault a worker whose join was removed;
// and against the removal of faults of halls and of workers that join.
func TestRemovedJoinTakesFaultsOfItsWorkerAlong(t *testing.T) {
	t.Parallel()
	join := emulator.Fault{At: time.Second, Kind: emulator.JoinWorker, Target: "worker-9", Cell: "hall-0"}
	ofJoined := []emulator.Fault{
		{At: 2 * time.Second, Kind: emulator.CutLink, Target: "host-0", Peer: "worker-9"},
		{At: 2 * time.Second, Kind: emulator.CrashWorker, Target: "worker-9"},
		{At: 3 * time.Second, Kind: emulator.LeaveWorker, Target: "worker-9"},
	}
	ofOthers := []emulator.Fault{
		{At: 2 * time.Second, Kind: emulator.TableDown},
		{At: 2 * time.Second, Kind: emulator.EvacuateHall, Target: "hall-0"},
		{At: 2 * time.Second, Kind: emulator.CutCell, Target: "hall-0"},
		{At: 3 * time.Second, Kind: emulator.LeaveWorker, Target: "worker-0"},
	}
	day := func(faults ...[]emulator.Fault) *emulator.Script {
		s := &emulator.Script{
			Plan:  emulator.Plan{Cells: 1, End: time.Minute},
			Hosts: []emulator.Node{{Name: "host-0", Cell: "hall-0"}}, Workers: []emulator.Node{{Name: "worker-0", Cell: "hall-0"}},
		}
		for _, list := range faults {
			s.Faults = append(s.Faults, list...)
		}
		return s
	}

	whole := day([]emulator.Fault{join}, ofJoined, ofOthers)
	must.NoError(t, whole.Check("whole"))
	before := len(whole.Faults)
	dropFaultsWithoutTarget(whole)
	must.Len(t, before, whole.Faults)

	without := day(ofJoined, ofOthers)
	must.Error(t, without.Check("without"))
	dropFaultsWithoutTarget(without)
	must.Eq(t, ofOthers, without.Faults)
	must.NoError(t, without.Check("without"))
}
