package org.lovagethread.cli;

import java.util.List;
import org.lovagethread.supplier.settings.SettingKey;
import org.lovagethread.supplier.settings.SettingType;

/** Lists the settings of the command line. */
public final class OperatorKeys {
    /** Name of the cell. */
    public static final SettingKey CELL =
            SettingKey.required("cell", "name", SettingType.NAME, "Name of the cell whose nodes are asked.");

    /** File with the operators' key. */
    public static final SettingKey KEY_FILE =
            SettingKey.required("operators", "key_file", SettingType.FILE, "File with the key shown to nodes.");

    /** Address of the Object API. */
    public static final SettingKey OBJECT_API =
            SettingKey.required("platform", "object_api", SettingType.HTTP_URI, "Address of the Object API.");

    private OperatorKeys() {}

    /**
     * Returns all keys.
     *
     * @return the keys in the order of the settings page
     */
    public static List<SettingKey> all() {
        return List.of(CELL, KEY_FILE, OBJECT_API);
    }
}
