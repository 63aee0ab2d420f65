package fleet

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
)

// inventoryTimeout is the timeout of a reading of the inventory, all pages included.
const inventoryTimeout = 2 * time.Second

// noInventory stands for a platform without an inventory.
type noInventory struct{}

// Inventory returns an error.
func (noInventory) Inventory(context.Context) (inventory.List, error) {
	return inventory.List{}, fault.New(fault.Unavailable, "inventory", "the platform has none", "")
}

// inventoryRead reports a reading of the inventory that a cell has asked for. A list that could be read is shared with all
// cells that this process leads.
type inventoryRead struct {
	cell string
	list inventory.List
	err  error
}

func (m inventoryRead) apply(c *Control, now time.Time) {
	for name, s := range c.cells {
		if name == m.cell || (m.err == nil && s.state.HoldsLeadership()) {
			s.state.Take(now, cell.InventoryRead{List: m.list, Err: m.err})
			s.needsDecision = true
		}
	}
}

// readInventory reads the inventory and sends the outcome to the control goroutine.
func (c *Control) readInventory(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	began := clock.Now()
	list, err := c.inventory.Inventory(ctx)
	outcome := "ok"
	fields := logrus.Fields{"cell": name, "ms": clock.Now().Sub(began).Milliseconds()}
	switch {
	case c.inventory == inventory.Reader(noInventory{}):
		outcome = "none"
	case err != nil:
		outcome = "unanswered"
		c.log.WithFields(fields).WithField("why", err.Error()).Warn("inventory-not-read")
	default:
		fields["pages"], fields["hosts"], fields["workers"] = list.Pages, len(list.Hosts), len(list.Workers)
		c.log.WithFields(fields).Info("inventory-read")
	}
	metrics.GetOrRegisterCounter("inventory."+outcome, c.metrics).Inc(1)
	c.send(inventoryRead{cell: name, list: list, err: err})
}
