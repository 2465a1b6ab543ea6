package bundle

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two bundles.
type Change struct {
	// Path is the path of the field, with list items by name, such as
	// "Models[drafter].Version".
	Path string
	// Old and New are empty if the field is absent in that bundle.
	Old, New string
}

// Diff returns the changes from one bundle to another, in the order of the
// fields.
func Diff(old, new *Bundle) []Change {
	var changes []Change
	diffValue("", reflect.ValueOf(*old), reflect.ValueOf(*new), &changes)
	return changes
}

func diffValue(path string, old, new reflect.Value, changes *[]Change) {
	switch old.Kind() {
	case reflect.Struct:
		for i := range old.NumField() {
			name := old.Type().Field(i).Name
			diffValue(strings.TrimPrefix(path+"."+name, "."), old.Field(i), new.Field(i), changes)
		}
	case reflect.Slice:
		diffSlice(path, old, new, changes)
	default:
		before, after := fmt.Sprint(old.Interface()), fmt.Sprint(new.Interface())
		if before != after {
			*changes = append(*changes, Change{Path: path, Old: before, New: after})
		}
	}
}

// diffSlice matches items by key, so that reordering a list is not a change.
func diffSlice(path string, old, new reflect.Value, changes *[]Change) {
	after := map[string]reflect.Value{}
	for i := range new.Len() {
		after[itemKey(new.Index(i))] = new.Index(i)
	}
	before := map[string]bool{}
	for i := range old.Len() {
		item := old.Index(i)
		key := itemKey(item)
		before[key] = true
		itemPath := fmt.Sprintf("%s[%s]", path, key)
		if other, ok := after[key]; ok {
			diffValue(itemPath, item, other, changes)
			continue
		}
		*changes = append(*changes, Change{Path: itemPath, Old: "present"})
	}
	for i := range new.Len() {
		key := itemKey(new.Index(i))
		if !before[key] {
			*changes = append(*changes, Change{Path: fmt.Sprintf("%s[%s]", path, key), New: "present"})
		}
	}
}

// itemKey returns the Name of a struct, or the value itself.
func itemKey(item reflect.Value) string {
	if item.Kind() != reflect.Struct {
		return fmt.Sprint(item.Interface())
	}
	return fmt.Sprint(item.FieldByName("Name").Interface())
}
