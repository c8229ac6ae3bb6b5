package org.lovagethread.cli;

import java.util.List;
import org.lovagethread.supplier.settings.SettingKey;
import org.lovagethread.supplier.settings.SettingType;

/** Keys of the settings of the command line. */
public final class OperatorSettingKeys {
    /** Name of the cell whose nodes the commands address. */
    public static final SettingKey CELL =
            SettingKey.required("cell", "name", SettingType.NAME, "Name of the cell whose nodes the commands address.");

    /** File with the key that authenticates the operator to the nodes. */
    public static final SettingKey KEY_FILE =
            SettingKey.required("operators", "key_file", SettingType.FILE, "File with the key for the nodes.");

    /** Base address of the Object API. */
    public static final SettingKey OBJECT_API =
            SettingKey.required("platform", "object_api", SettingType.HTTP_URI, "Address of the Object API.");

    private OperatorSettingKeys() {}

    /**
     * Returns all keys.
     *
     * @return the keys in the order of the settings page
     */
    public static List<SettingKey> all() {
        return List.of(CELL, KEY_FILE, OBJECT_API);
    }
}
