package fleetpeer

import (
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

func encodeTransaction(t table.Transaction) *wire.TableCommit {
	m := &wire.TableCommit{}
	for _, c := range t.Conditions {
		m.Conditions = append(m.Conditions, &wire.TableRow{Table: c.Table, Part: c.Part, Key: c.Key.Key, Version: c.Version})
	}
	for _, r := range t.Puts {
		m.Puts = append(m.Puts, encodeRow(r))
	}
	for _, k := range t.Removes {
		m.Removes = append(m.Removes, &wire.TableRow{Table: k.Table, Part: k.Part, Key: k.Key})
	}
	return m
}

func decodeTransaction(m *wire.TableCommit) table.Transaction {
	t := table.Transaction{Puts: decodeRows(m.GetPuts())}
	for _, c := range m.GetConditions() {
		t.Conditions = append(t.Conditions, table.Condition{Key: keyOf(c), Version: c.GetVersion()})
	}
	for _, r := range m.GetRemoves() {
		t.Removes = append(t.Removes, keyOf(r))
	}
	return t
}

func keyOf(r *wire.TableRow) table.Key {
	return table.Key{Table: r.GetTable(), Part: r.GetPart(), Key: r.GetKey()}
}

func encodeRow(r table.Row) *wire.TableRow {
	return &wire.TableRow{Table: r.Table, Part: r.Part, Key: r.Key.Key, Value: r.Value, Version: r.Version}
}

func encodeRows(list []table.Row) []*wire.TableRow {
	out := make([]*wire.TableRow, 0, len(list))
	for _, r := range list {
		out = append(out, encodeRow(r))
	}
	return out
}

func decodeRows(list []*wire.TableRow) []table.Row {
	out := make([]table.Row, 0, len(list))
	for _, r := range list {
		out = append(out, table.Row{Key: keyOf(r), Value: r.GetValue(), Version: r.GetVersion()})
	}
	return out
}
