package promises_test

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/wrenferry/wrenferry/pkg/standin"
)

// entriesOf returns the entries in the record of a stand-in, or none if there is no record.
func (f *fleet) entriesOf(name string) []standin.Entry {
	file, err := os.Open(f.record(name))
	if err != nil {
		return nil
	}
	defer file.Close()
	var list []standin.Entry
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var e standin.Entry
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			list = append(list, e)
		}
	}
	return list
}
